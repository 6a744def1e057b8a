/**
 * Bounds the length of identifiers that callers choose, before a table keeps them as keys.
 *
 * @packageDocumentation
 */
import { createHash } from "node:crypto";

/** Length of the longest identifier that is kept as it is, in characters. */
const maximumKeyLength = 64;
/** Strings of this length and above may be views of a longer one, which they keep in memory. */
const minimumViewLength = 13;

/**
 * Builds a key from an identifier. Equal identifiers give equal keys on all nodes.
 *
 * @param identifier - The identifier, of any length.
 * @returns A copy of it, or a digest of one that is too long.
 */
export function buildBoundedKey(identifier: string): string {
    if (identifier.length > maximumKeyLength) {
        return createHash("sha256").update(identifier).digest("base64url");
    }
    return identifier.length < minimumViewLength ? identifier : Buffer.from(identifier).toString();
}
