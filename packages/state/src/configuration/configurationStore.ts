/**
 * The interface of the configuration store.
 *
 * @packageDocumentation
 */
import type { ConfigurationProblem } from "@pimentocleat/schema";
import type { ConfigurationSnapshot } from "./configurationSnapshot.js";
import type { ConfigurationHead } from "./headTable.js";

/** The change of one file by an operator. */
export interface FileChange {
    readonly name: string;
    /** The new content; the file is deleted when absent. */
    readonly content?: string;
    /** Digest of the content on which the operator's edit is based; absent when there was no file. */
    readonly baseDigest?: string;
}

/** A set of changes that take effect together or not at all. */
export interface ApplyRequest {
    /** Name of the operator, for people who read the history. */
    readonly author: string;
    readonly changes: readonly FileChange[];
}

/** A file whose stored content differs from the base of the edit, because another operator changed it. */
export interface FileConflict {
    readonly name: string;
    /** Digest of the stored content; absent when the file was deleted. */
    readonly storedDigest?: string;
    /** The revision that last changed the file, if known. */
    readonly revision?: number;
    /** Author of that revision, if known. */
    readonly author?: string;
}

/** The result of an apply. */
export type ApplyResult =
    | { readonly type: "applied"; readonly revision: number; readonly changedFiles: readonly string[] }
    /** The stored files already have the requested contents. */
    | { readonly type: "unchanged"; readonly revision: number }
    | { readonly type: "conflict"; readonly revision: number; readonly conflicts: readonly FileConflict[] }
    | { readonly type: "invalid"; readonly problems: readonly ConfigurationProblem[] }
    /** The store is unavailable or other commits kept coming first; nothing was changed. */
    | { readonly type: "unavailable" }
    /** The store became unavailable after the commit was sent, which may still take effect as this revision. */
    | { readonly type: "unknown"; readonly revision: number };

/** Reads and changes the stored configuration. */
export interface ConfigurationStore {
    /**
     * Reads the files of the newest revision.
     *
     * @param head - The head, if it was just read; saves a call.
     * @param known - A snapshot that the caller already has; the store may read only the files that changed since.
     * @returns The snapshot of that head or of a newer one; throws a `PlatformError` on failure.
     */
    readSnapshot(head?: ConfigurationHead, known?: ConfigurationSnapshot): Promise<ConfigurationSnapshot>;
    /**
     * Applies changes to the newest revision, including what other operators applied in the meantime.
     *
     * @param request - The changes and their author.
     * @returns The result.
     */
    applyChanges(request: ApplyRequest): Promise<ApplyResult>;
}
