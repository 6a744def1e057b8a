/**
 * All files of one revision of the configuration.
 *
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import type { ConfigurationFile } from "@pimentocleat/schema";

/** A consistent copy of the configuration's files. */
export interface ConfigurationSnapshot {
    /** 0 before the first apply. */
    readonly revision: number;
    /** Digest over the names and contents of all files; see {@link computeFilesDigest}. */
    readonly digest: string;
    /** The files, sorted by name. */
    readonly files: readonly ConfigurationFile[];
}

/**
 * Computes the digest of a file's content.
 *
 * @param content - The file's content.
 * @returns The SHA-256 digest, in hexadecimal.
 */
export function computeContentDigest(content: string): string {
    return createHash("sha256").update(content).digest("hex");
}

/**
 * Computes the digest over the names and contents of all files.
 *
 * @param files - The files, in any order.
 * @returns The SHA-256 digest, in hexadecimal, over one line per file with its content digest and name; the lines are
 * sorted.
 */
export function computeFilesDigest(files: readonly ConfigurationFile[]): string {
    const lines = files.map((file) => `${computeContentDigest(file.content)} ${file.name}\n`);
    const hash = createHash("sha256");
    for (const line of lines.sort()) {
        hash.update(line);
    }
    return hash.digest("hex");
}

/**
 * Builds a snapshot: sorts the files by name and computes their digest.
 *
 * @param revision - The revision; 0 before the first apply.
 * @param files - The files, in any order.
 * @returns The snapshot.
 */
export function buildSnapshot(revision: number, files: readonly ConfigurationFile[]): ConfigurationSnapshot {
    const sorted = [...files].sort((left, right) => (left.name < right.name ? -1 : 1));
    return { revision, digest: computeFilesDigest(sorted), files: sorted };
}
