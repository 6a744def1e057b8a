/**
 * Watching of a folder for saved files.
 *
 * @packageDocumentation
 */
import { computeContentDigest } from "@pimentocleat/state";
import type { ConfigurationFolder } from "../folder/configurationFolder.js";
import type { CommandContext } from "./commandContext.js";

/** Time between two looks at the folder, in milliseconds. */
const pollIntervalMs = 300;

/** Wait before a change that could not be applied is tried again, in milliseconds. */
const retryDelayMs = 2_000;

/**
 * Looks at a folder until told to stop. Looks rather than file events: editors replace files in many ways.
 *
 * @param context - The command; its signal ends the watch.
 * @param folder - The folder.
 * @param onChange - Called at the start and after each change that has been the same for two looks, so that
 * a file is not read while it is being written. Returns whether it is done with the change; if not, it is
 * called again.
 */
export async function watchFolder(
    context: CommandContext,
    folder: ConfigurationFolder,
    onChange: () => Promise<boolean>,
): Promise<void> {
    let handledDigest: string | undefined;
    let previousDigest: string | undefined;
    while (!context.signal.aborted) {
        const currentDigest = computeContentDigest(JSON.stringify(await folder.readFiles()));
        if (currentDigest === previousDigest && currentDigest !== handledDigest) {
            const isDone = await onChange();
            handledDigest = isDone ? currentDigest : undefined;
            await context.clock.wait(isDone ? 0 : retryDelayMs, context.signal);
        }
        previousDigest = currentDigest;
        await context.clock.wait(pollIntervalMs, context.signal);
    }
}
