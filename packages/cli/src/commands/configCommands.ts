/**
 * `pimentocleat config validate|diff|pull|apply|status|watch`.
 *
 * @packageDocumentation
 */
import { formatProblem, parseConfiguration } from "@pimentocleat/schema";
import { computeContentDigest } from "@pimentocleat/state";
import { ConfigurationFolder } from "../folder/configurationFolder.js";
import { compareEntries, compareFiles } from "../folder/folderChanges.js";
import { runCall } from "../operator/operatorClient.js";
import { CommandError, ExitCode } from "../output/exitCodes.js";
import { formatTable } from "../output/output.js";
import { applyFolder, waitForNodes, type RolloutStatus } from "./applyFolder.js";
import { openClient, readTextFlag, type CommandContext } from "./commandContext.js";
import { formatNodes, readNodes } from "./nodeCommands.js";
import { watchFolder } from "./watchFolder.js";

/** Default of `--wait-timeout-ms`, in milliseconds. */
const defaultWaitTimeoutMs = 15_000;

/** Failures that can disappear without a change to the folder; `config watch` retries after them. */
const transientFailures: ReadonlySet<ExitCode> = new Set([ExitCode.Unreachable, ExitCode.OutcomeUnknown]);

/**
 * Validates a folder without calling a node.
 *
 * @param context - The command.
 * @param path - The folder.
 * @returns The exit code.
 */
export async function validateConfiguration(context: CommandContext, path: string): Promise<ExitCode> {
    const files = await new ConfigurationFolder(path).readFiles();
    const { configuration, problems } = parseConfiguration(files);
    if (configuration === undefined) {
        context.output.printResult({ valid: false, problems }, problems.map(formatProblem));
        return ExitCode.InvalidConfiguration;
    }
    const counts = Object.entries(configuration).map(([list, values]) => `${String(values.length)} ${list}`);
    context.output.printResult({ valid: true, problems }, [
        `valid: ${String(files.length)} files with ${counts.join(", ")}`,
    ]);
    return ExitCode.Success;
}

/**
 * Prints how a folder differs from the stored configuration.
 *
 * @param context - The command.
 * @param path - The folder.
 * @returns The exit code.
 */
export async function compareConfiguration(context: CommandContext, path: string): Promise<ExitCode> {
    const folder = new ConfigurationFolder(path);
    const { client, target } = openClient(context);
    const [files, base] = [await folder.readFiles(), await folder.readBase()];
    const stored = await runCall(target.address, () => client.getConfiguration({}));
    const differences = compareFiles(files, stored.files, base);
    const local = new Set(files.map((file) => file.name));
    const storedOnlyFiles = stored.files.filter(
        (file) => !local.has(file.name) && base.files[file.name] === undefined,
    );
    const entries = compareEntries(stored.files, [...files, ...storedOnlyFiles]);
    const lines = [
        ...differences.map(({ name, difference }) => `${difference.padEnd(10)}  ${name}`),
        ...entries.map(({ entry, difference }) => `${difference.padEnd(10)}  ${entry}`),
    ];
    context.output.printResult(
        { revision: stored.revision, files: differences, entries },
        lines.length === 0 ? [`no difference from revision ${String(stored.revision)}`] : lines,
    );
    return differences.length === 0 ? ExitCode.Success : ExitCode.Different;
}

/**
 * Writes the stored files into a folder; files that the operator has changed are not overwritten.
 *
 * @param context - The command.
 * @param path - The folder.
 * @returns The exit code.
 */
export async function pullConfiguration(context: CommandContext, path: string): Promise<ExitCode> {
    const folder = new ConfigurationFolder(path);
    const { client, target } = openClient(context);
    const stored = await runCall(target.address, () => client.getConfiguration({}));
    const base = await folder.readBase();
    const local = new Map(
        (await folder.readFiles().catch(() => [])).map((file) => [file.name, file.content]),
    );
    const written: string[] = [];
    const kept: string[] = [];
    const digests: Record<string, string> = { ...base.files };
    for (const file of stored.files) {
        const content = local.get(file.name);
        const isEdited = content !== undefined && computeContentDigest(content) !== base.files[file.name];
        if (isEdited && content !== file.content) {
            kept.push(file.name);
        } else if (content !== file.content) {
            await folder.writeFile({ name: file.name, content: file.content });
            written.push(file.name);
        }
        // Also recorded for kept files: the operator now knows the stored version, so the next apply is based on it.
        digests[file.name] = computeContentDigest(file.content);
    }
    await folder.writeBase({ revision: Number(stored.revision), files: digests });
    context.output.printResult({ revision: stored.revision, written, kept }, [
        `revision ${String(stored.revision)}: ${String(written.length)} files written`,
        ...kept.map(
            (name) => `kept your edit of ${name}; compare it with the stored version before you apply`,
        ),
    ]);
    return ExitCode.Success;
}

/**
 * Applies a folder, and waits until its revision is active on every node when `--wait` is set.
 *
 * @param context - The command.
 * @param path - The folder.
 * @returns The exit code.
 */
export async function applyConfiguration(context: CommandContext, path: string): Promise<ExitCode> {
    const applied = await applyFolder(context, new ConfigurationFolder(path));
    const { revision, changedFiles } = applied;
    const summary =
        changedFiles.length === 0
            ? `unchanged; revision ${String(revision)}`
            : `revision ${String(revision)}: ${changedFiles.join(", ")}`;
    if (context.flags["wait"] !== true) {
        context.output.printResult(applied, [summary]);
        return ExitCode.Success;
    }
    const rollout = await waitForNodes(context, revision, readWaitTimeoutMs(context));
    context.output.printResult({ ...applied, ...rollout }, [summary, formatRolloutStatus(rollout)]);
    return rollout.missing.length === 0 ? ExitCode.Success : ExitCode.NotInForce;
}

/**
 * Prints the stored revision and the active revision of each node.
 *
 * @param context - The command.
 * @returns The exit code.
 */
export async function printConfigurationStatus(context: CommandContext): Promise<ExitCode> {
    const { client, target } = openClient(context);
    const stored = await runCall(target.address, () => client.getConfiguration({}));
    const nodes = await readNodes(context);
    const inForce = nodes.filter((node) => node.revision >= Number(stored.revision)).length;
    context.output.printResult({ revision: stored.revision, inForce, nodes }, [
        `stored revision ${String(stored.revision)}, in force on ${String(inForce)} of ${String(nodes.length)} nodes`,
        ...formatTable(formatNodes(nodes)),
    ]);
    return ExitCode.Success;
}

/**
 * Applies a folder whenever one of its files is saved, until the command is interrupted.
 *
 * @param context - The command.
 * @param path - The folder.
 * @returns The exit code.
 */
export async function watchConfiguration(context: CommandContext, path: string): Promise<ExitCode> {
    const folder = new ConfigurationFolder(path);
    let lastFailure: CommandError | undefined;
    await watchFolder(context, folder, async () => {
        try {
            await applyAndWait(context, folder);
            lastFailure = undefined;
        } catch (error) {
            if (!(error instanceof CommandError)) {
                throw error;
            }
            // Retries repeat the same failure; it is printed only once.
            if (error.message !== lastFailure?.message) {
                context.output.printFailure(error.code, error.message);
            }
            lastFailure = error;
        }
        return lastFailure === undefined || !transientFailures.has(lastFailure.code);
    });
    return ExitCode.Success;
}

async function applyAndWait(context: CommandContext, folder: ConfigurationFolder): Promise<void> {
    const applied = await applyFolder(context, folder);
    const rollout = await waitForNodes(context, applied.revision, readWaitTimeoutMs(context));
    context.output.printResult({ ...applied, ...rollout }, [
        `revision ${String(applied.revision)}: ${formatRolloutStatus(rollout)}`,
    ]);
}

function formatRolloutStatus(result: RolloutStatus): string {
    const missing = result.missing.length === 0 ? "" : `; missing: ${result.missing.join(", ")}`;
    return `in force on ${String(result.inForce)} of ${String(result.nodes)} nodes${missing}`;
}

function readWaitTimeoutMs(context: CommandContext): number {
    const text = readTextFlag(context, "waitTimeoutMs");
    if (text === undefined) {
        return defaultWaitTimeoutMs;
    }
    if (!/^\d+$/.test(text)) {
        throw new CommandError(
            ExitCode.WrongUsage,
            `--wait-timeout-ms: "${text}" is not allowed; use a whole number of milliseconds`,
        );
    }
    return Number(text);
}
