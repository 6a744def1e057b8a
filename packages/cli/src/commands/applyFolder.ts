/**
 * Applying of a folder and waiting until it is in force.
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

const nodePollIntervalMs = 250;

/** What an apply changed. */
export interface FolderApplyResult {
    readonly revision: number;
    /** Empty when the store already held all of it. */
    readonly changedFiles: readonly string[];
}

/** How many nodes have a revision in force. */
export interface RolloutStatus {
    readonly inForce: number;
    readonly nodes: number;
    /** Names of the nodes that have not. */
    readonly missing: readonly string[];
}

/**
 * Applies what the operator changed in a folder.
 *
 * @param context - The command.
 * @param folder - The folder.
 * @returns What changed.
 * @throws {@link CommandError} when the configuration is invalid, conflicts or cannot be stored.
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
 * Turns an outcome that changed nothing into a failure.
 *
 * @param answer - The node's answer.
 * @throws {@link CommandError} unless the change is stored.
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
                `the table service went out; the change may become revision ${String(answer.revision)}: run the command again when it is back`,
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
 * Waits until every known node has a revision in force.
 *
 * @param context - The command.
 * @param revision - The revision.
 * @param timeoutMs - Longest wait, in milliseconds.
 * @returns How many nodes have it; all of them unless the time is over.
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
