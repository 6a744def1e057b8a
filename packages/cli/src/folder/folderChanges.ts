/**
 * Computes the operator's changes in a folder and its differences from the stored configuration.
 *
 * @packageDocumentation
 */
import { parseConfiguration, type Configuration, type ConfigurationFile } from "@pimentocleat/schema";
import { computeContentDigest, type FileChange } from "@pimentocleat/state";
import type { FolderBase } from "./configurationFolder.js";

/**
 * How a file of the folder differs from the stored file. A file is `onlyStored` if it is stored but the folder was never
 * synchronized with it.
 */
export type FileDifferenceKind = "added" | "changed" | "removed" | "onlyStored";

/** A file that differs. */
export interface FileDifference {
    readonly name: string;
    readonly difference: FileDifferenceKind;
}

/**
 * Lists the operator's changes since the folder was last synchronized.
 *
 * @param files - The files of the folder.
 * @param base - The stored state that the folder was last synchronized with.
 * @returns The changes to apply.
 */
export function listFolderChanges(
    files: readonly ConfigurationFile[],
    base: FolderBase,
): readonly FileChange[] {
    const names = new Set(files.map((file) => file.name));
    const changed = files
        .filter((file) => base.files[file.name] !== computeContentDigest(file.content))
        .map((file) => withBase({ name: file.name, content: file.content }, base));
    const removed = Object.keys(base.files).filter((name) => !names.has(name));
    return [...changed, ...removed.map((name) => withBase({ name }, base))];
}

function withBase(change: FileChange, base: FolderBase): FileChange {
    const baseDigest = base.files[change.name];
    return baseDigest === undefined ? change : { ...change, baseDigest };
}

/**
 * Computes the base of a folder after its changes were applied.
 *
 * @param base - The base before the apply.
 * @param changes - The applied changes.
 * @param revision - The new revision.
 * @returns The new base.
 */
export function advanceBase(base: FolderBase, changes: readonly FileChange[], revision: number): FolderBase {
    const files = { ...base.files };
    for (const change of changes) {
        if (change.content === undefined) {
            delete files[change.name];
        } else {
            files[change.name] = computeContentDigest(change.content);
        }
    }
    return { revision, files };
}

/**
 * Compares the folder with the stored files.
 *
 * @param files - The files of the folder.
 * @param stored - The stored files.
 * @param base - The stored state that the folder was last synchronized with.
 * @returns The differences, sorted by name.
 */
export function compareFiles(
    files: readonly ConfigurationFile[],
    stored: readonly ConfigurationFile[],
    base: FolderBase,
): readonly FileDifference[] {
    const local = new Map(files.map((file) => [file.name, file.content]));
    const remote = new Map(stored.map((file) => [file.name, file.content]));
    const names = [...new Set([...local.keys(), ...remote.keys()])].sort();
    return names.flatMap((name): FileDifference[] => {
        if (local.get(name) === remote.get(name)) {
            return [];
        }
        if (!local.has(name)) {
            return [{ name, difference: base.files[name] === undefined ? "onlyStored" : "removed" }];
        }
        return [{ name, difference: remote.has(name) ? "changed" : "added" }];
    });
}

/** An entry that differs between two configurations. */
export interface EntryDifference {
    /** List and name of the entry, such as `customers/chain`. */
    readonly entry: string;
    readonly difference: "added" | "changed" | "removed";
}

/**
 * Compares the configuration entries of two sets of files.
 *
 * @param before - The stored files.
 * @param after - The files as they would be stored.
 * @returns The differences; empty when either set is not valid.
 */
export function compareEntries(
    before: readonly ConfigurationFile[],
    after: readonly ConfigurationFile[],
): readonly EntryDifference[] {
    const beforeEntries = listEntries(parseConfiguration(before).configuration);
    const afterEntries = listEntries(parseConfiguration(after).configuration);
    if (beforeEntries === undefined || afterEntries === undefined) {
        return [];
    }
    const names = [...new Set([...beforeEntries.keys(), ...afterEntries.keys()])].sort();
    return names
        .filter((entry) => beforeEntries.get(entry) !== afterEntries.get(entry))
        .map((entry) => ({
            entry,
            difference: !beforeEntries.has(entry) ? "added" : afterEntries.has(entry) ? "changed" : "removed",
        }));
}

function listEntries(configuration: Configuration | undefined): Map<string, string> | undefined {
    if (configuration === undefined) {
        return undefined;
    }
    const entries = new Map<string, string>();
    for (const [list, values] of Object.entries(configuration)) {
        for (const value of values) {
            const name = "name" in value ? value.name : "id" in value ? value.id : value.path;
            entries.set(`${list}/${name}`, JSON.stringify(value));
        }
    }
    return entries;
}
