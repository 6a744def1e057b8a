/**
 * Watching of a folder for saved files.
 *
 * @packageDocumentation
 */
import { computeContentDigest } from "@pimentocleat/state";
import type { ConfigurationFolder } from "../folder/configurationFolder.js";
import type { CommandContext } from "./commandContext.js";

/** Time between two looks at the folder, in milliseconds. */
const watchIntervalMs = 300;

/**
 * Looks at a folder until told to stop. Looks rather than file events: editors replace files in many ways.
 *
 * @param context - The command; its signal ends the watch.
 * @param folder - The folder.
 * @param onChange - Called at the start and after each change that has been the same for two looks, so that
 * a file is not read while it is being written.
 */
export async function watchFolder(
    context: CommandContext,
    folder: ConfigurationFolder,
    onChange: () => Promise<void>,
): Promise<void> {
    let handled: string | undefined;
    let previous: string | undefined;
    while (!context.signal.aborted) {
        const current = computeContentDigest(JSON.stringify(await folder.readFiles()));
        if (current === previous && current !== handled) {
            handled = current;
            await onChange();
        }
        previous = current;
        await context.clock.wait(watchIntervalMs, context.signal);
    }
}
