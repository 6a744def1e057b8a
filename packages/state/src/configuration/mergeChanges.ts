/**
 * Merges an operator's changes into the stored files.
 *
 * @packageDocumentation
 */
import type { ConfigurationFile } from "@pimentocleat/schema";
import { computeContentDigest, type ConfigurationSnapshot } from "./configurationSnapshot.js";
import type { FileChange, FileConflict } from "./configurationStore.js";

/** The result of a merge; the files may be stored only if there are no conflicts. */
export interface MergedChanges {
    readonly conflicts: readonly FileConflict[];
    /** All files after the changes without a conflict. */
    readonly files: readonly ConfigurationFile[];
    /** The changes without a conflict that the snapshot does not contain yet. */
    readonly effective: readonly FileChange[];
}

/**
 * Merges changes into a snapshot. A change conflicts if the stored file has neither the content on which the edit
 * is based nor the new content; changes of other files since then do not matter.
 *
 * @param snapshot - The stored files.
 * @param changes - The operator's changes.
 * @returns The merged files and the conflicts.
 */
export function mergeChanges(snapshot: ConfigurationSnapshot, changes: readonly FileChange[]): MergedChanges {
    const files = new Map(snapshot.files.map((file) => [file.name, file.content]));
    const conflicts: FileConflict[] = [];
    const effective: FileChange[] = [];
    for (const change of changes) {
        const stored = files.get(change.name);
        if (stored === change.content) {
            continue;
        }
        const storedDigest = stored === undefined ? undefined : computeContentDigest(stored);
        if (storedDigest !== change.baseDigest) {
            conflicts.push({ name: change.name, ...(storedDigest === undefined ? {} : { storedDigest }) });
            continue;
        }
        effective.push(change);
    }
    for (const change of effective) {
        if (change.content === undefined) {
            files.delete(change.name);
        } else {
            files.set(change.name, change.content);
        }
    }
    return { conflicts, files: [...files].map(([name, content]) => ({ name, content })), effective };
}
