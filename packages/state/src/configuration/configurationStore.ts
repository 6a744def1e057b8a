/**
 * The interface to the stored configuration.
 *
 * @packageDocumentation
 */
import type { ConfigurationProblem } from "@pimentocleat/schema";
import type { ConfigurationSnapshot } from "./configurationSnapshot.js";
import type { ConfigurationHead } from "./headTable.js";

/** One file that an operator changes. */
export interface FileChange {
    readonly name: string;
    /** The new text; absent deletes the file. */
    readonly content?: string;
    /** Digest of the content that the operator's edit started from; absent when there was no file. */
    readonly baseDigest?: string;
}

/** A set of changes that take effect together or not at all. */
export interface ApplyRequest {
    /** Who changes; for people who read the history. */
    readonly author: string;
    readonly changes: readonly FileChange[];
}

/** A file that another operator has changed since the edit began. */
export interface FileConflict {
    readonly name: string;
    /** Digest of the stored content; absent when the file was deleted. */
    readonly storedDigest?: string;
    /** The revision that changed the file last, if it is known. */
    readonly revision?: number;
    readonly author?: string;
}

/** What became of an apply. */
export type ApplyResult =
    | { readonly type: "applied"; readonly revision: number; readonly changedFiles: readonly string[] }
    /** The store already holds exactly this. */
    | { readonly type: "unchanged"; readonly revision: number }
    | { readonly type: "conflict"; readonly revision: number; readonly conflicts: readonly FileConflict[] }
    | { readonly type: "invalid"; readonly problems: readonly ConfigurationProblem[] }
    /** The store is out; nothing was changed. */
    | { readonly type: "unavailable" }
    /** The store went out after a commit was sent; it may still take effect as this revision. */
    | { readonly type: "unknown"; readonly revision: number };

/** Reads and changes the stored configuration. */
export interface ConfigurationStore {
    /**
     * Reads the newest revision.
     *
     * @param head - The head, if it was just read; saves a call.
     * @param known - A snapshot that the caller has; only what changed since is read.
     * @returns The files of that head or of a newer one; throws a `PlatformError` on failure.
     */
    readSnapshot(head?: ConfigurationHead, known?: ConfigurationSnapshot): Promise<ConfigurationSnapshot>;
    /**
     * Applies changes on top of whatever other operators have applied meanwhile.
     *
     * @param request - The changes.
     * @returns What became of them.
     */
    applyChanges(request: ApplyRequest): Promise<ApplyResult>;
}
