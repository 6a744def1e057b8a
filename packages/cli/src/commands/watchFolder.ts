/**
 * Watches a configuration folder for saved files.
 *
 * @packageDocumentation
 */
import { computeContentDigest } from "@pimentocleat/state";
import type { ConfigurationFolder } from "../folder/configurationFolder.js";
import type { CommandContext } from "./commandContext.js";

/** Interval between polls of the folder, in milliseconds. */
const pollIntervalMs = 300;

/** Delay before a change that could not be applied is retried, in milliseconds. */
const retryDelayMs = 2_000;

/**
 * Polls a folder until the command is interrupted. It polls instead of using file events because editors replace
 * files in many ways.
 *
 * @param context - The command; its signal ends the watch.
 * @param folder - The folder.
 * @param onChange - Called at the start and after each change, once two consecutive polls have read the same content,
 * so that a partly written file is not applied. Returns whether the change is handled; if not, it is called again.
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
