/**
 * Applies a configuration folder and waits until the nodes have activated its revision.
 *
 * @packageDocumentation
 */
import { ApplyOutcome, formatProblem, type ApplyConfigurationResponse } from "@pimentocleat/schema";
import { computeContentDigest, type FileChange } from "@pimentocleat/state";
import type { ConfigurationFolder } from "../folder/configurationFolder.js";
import { advanceBase, listFolderChanges } from "../folder/folderChanges.js";
import { runCall } from "../operator/operatorClient.js";
import { CommandError, ExitCode } from "../output/exitCodes.js";
import { openClient, readAuthor, type CommandContext } from "./commandContext.js";

/** Interval between polls of the nodes' active revisions, in milliseconds. */
const nodePollIntervalMs = 250;

/** The result of applying a folder. */
export interface FolderApplyResult {
    /** The stored revision after the apply. */
    readonly revision: number;
    /** Names of the changed files; empty when the stored configuration already matched the folder. */
    readonly changedFiles: readonly string[];
}

/** The activation of a revision on the known nodes. */
export interface RolloutStatus {
    /** Number of nodes on which the revision is active. */
    readonly inForce: number;
    /** Number of known nodes. */
    readonly nodes: number;
    /** Names of the nodes on which the revision is not active. */
    readonly missing: readonly string[];
}

/**
 * Applies the operator's changes in a folder to the stored configuration.
 *
 * @param context - The command.
 * @param folder - The folder.
 * @returns The stored revision and the changed files.
 * @throws {@link CommandError} when the configuration is invalid, a change conflicts with another operator's, or
 * the configuration cannot be stored.
 */
export async function applyFolder(
    context: CommandContext,
    folder: ConfigurationFolder,
): Promise<FolderApplyResult> {
    const { client, target } = openClient(context);
    const files = await folder.readFiles();
    const base = await folder.readBase();
    const edits = listFolderChanges(files, base);
    const isOverwrite = context.flags["overwrite"] === true;
    const changes = isOverwrite
        ? await runCall(target.address, () => updateBaseDigests(client, edits))
        : edits;
    const answer = await runCall(target.address, () =>
        client.applyConfiguration({ author: readAuthor(context), changes: [...changes] }),
    );
    checkApplyOutcome(answer);
    const revision = Number(answer.revision);
    await folder.writeBase(advanceBase(base, changes, revision));
    return { revision, changedFiles: answer.changedFiles };
}

/** Bases changes on the stored versions of their files, so that they overwrite other operators' changes. */
async function updateBaseDigests(
    client: ReturnType<typeof openClient>["client"],
    changes: readonly FileChange[],
): Promise<readonly FileChange[]> {
    const stored = new Map(
        (await client.getConfiguration({})).files.map((file) => [
            file.name,
            computeContentDigest(file.content),
        ]),
    );
    return changes.map(({ name, content }) => {
        const baseDigest = stored.get(name);
        return {
            name,
            ...(content === undefined ? {} : { content }),
            ...(baseDigest === undefined ? {} : { baseDigest }),
        };
    });
}

/**
 * Checks that an apply succeeded.
 *
 * @param answer - The node's response.
 * @throws {@link CommandError} unless the change is stored or the stored configuration already contained it.
 */
export function checkApplyOutcome(answer: ApplyConfigurationResponse): void {
    switch (answer.outcome) {
        case ApplyOutcome.APPLIED:
        case ApplyOutcome.UNCHANGED:
            return;
        case ApplyOutcome.CONFLICT:
            throw new CommandError(ExitCode.Conflict, answer.conflicts.map(formatConflict).join("\n"));
        case ApplyOutcome.INVALID:
            throw new CommandError(
                ExitCode.InvalidConfiguration,
                answer.problems.map(formatProblem).join("\n"),
            );
        case ApplyOutcome.UNAVAILABLE:
            throw new CommandError(ExitCode.Unreachable, "the table service is out; nothing was changed");
        default:
            throw new CommandError(
                ExitCode.OutcomeUnknown,
                `the table service became unavailable during the commit; the change may become revision ${String(answer.revision)}: run the command again when the service is available`,
            );
    }
}

function formatConflict(conflict: ApplyConfigurationResponse["conflicts"][number]): string {
    const change =
        conflict.revision === 0n
            ? "was deleted"
            : `was changed by ${conflict.author} in revision ${String(conflict.revision)}`;
    return `${conflict.name} ${change} since your edit began; run \`pimentocleat config pull\`, or apply with --overwrite`;
}

/**
 * Waits until a revision is active on every known node, the timeout expires or the command is interrupted.
 *
 * @param context - The command; its signal ends the wait.
 * @param revision - The revision.
 * @param timeoutMs - Maximum wait, in milliseconds.
 * @returns The number of nodes on which the revision is active, and the names of the others.
 */
export async function waitForNodes(
    context: CommandContext,
    revision: number,
    timeoutMs: number,
): Promise<RolloutStatus> {
    const { client, target } = openClient(context);
    const deadlineMs = context.clock.monotonicMs() + timeoutMs;
    for (;;) {
        const { nodes } = await runCall(target.address, () => client.listNodes({}));
        const missing = nodes.filter((node) => node.revision < BigInt(revision)).map((node) => node.name);
        const mustStop = context.clock.monotonicMs() >= deadlineMs || context.signal.aborted;
        if (missing.length === 0 || mustStop) {
            return { inForce: nodes.length - missing.length, nodes: nodes.length, missing };
        }
        await context.clock.wait(nodePollIntervalMs, context.signal);
    }
}
