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
    /** Digest over the names and contents of all files. */
    readonly digest: string;
    /** The files, in the order of their names. */
    readonly files: readonly ConfigurationFile[];
}

/**
 * Computes the digest of a file's content.
 *
 * @param content - The text.
 * @returns SHA-256, in hexadecimal.
 */
export function computeContentDigest(content: string): string {
    return createHash("sha256").update(content).digest("hex");
}

/**
 * Computes the digest over all files.
 *
 * @param files - The files, in any order.
 * @returns SHA-256 over the sorted names and the digests of the contents, in hexadecimal.
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
 * Builds a snapshot.
 *
 * @param revision - The revision.
 * @param files - The files, in any order.
 * @returns The snapshot with sorted files and their digest.
 */
export function buildSnapshot(revision: number, files: readonly ConfigurationFile[]): ConfigurationSnapshot {
    const sorted = [...files].sort((left, right) => (left.name < right.name ? -1 : 1));
    return { revision, digest: computeFilesDigest(sorted), files: sorted };
}
