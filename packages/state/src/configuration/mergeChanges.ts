/**
 * Merging of an operator's changes into the stored files.
 *
 * @packageDocumentation
 */
import type { ConfigurationFile } from "@pimentocleat/schema";
import { computeContentDigest, type ConfigurationSnapshot } from "./configurationSnapshot.js";
import type { FileChange, FileConflict } from "./configurationStore.js";

/** The merged files, or the conflicts that forbid the merge. */
export interface MergedChanges {
    readonly conflicts: readonly FileConflict[];
    /** Files after the changes. */
    readonly files: readonly ConfigurationFile[];
    /** The changes that are not yet in the snapshot. */
    readonly effective: readonly FileChange[];
}

/**
 * Merges changes into a snapshot. A change conflicts if the stored file is neither the edit's base nor
 * already what the change asks for; other files may have changed freely.
 *
 * @param snapshot - The stored files.
 * @param changes - The changes.
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
