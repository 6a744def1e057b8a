/**
 * Bounds the number of parts by which prompts are compared. Callers choose how finely they list a prompt, and each part
 * costs memory on every node and time in every choice of a server.
 *
 * @packageDocumentation
 */
import type { PromptPart } from "./prefixCacheModel.js";

/** Maximum number of parts that are compared one by one. */
const maximumParts = 64;

/**
 * Merges the parts of a long list. The leading ones stay as they are, since a cache holds a prompt from its start; those
 * between them and the last one, which belongs to the request itself, become one part.
 *
 * @param parts - The parts of a prompt, in order.
 * @param buildKey - Builds an identifier of bounded length; equal ones for equal texts, on all nodes.
 * @returns The same parts, or fewer with the same tokens in all.
 */
export function mergeParts(
    parts: readonly PromptPart[],
    buildKey: (text: string) => string,
): readonly PromptPart[] {
    if (parts.length <= maximumParts) {
        return parts;
    }
    const merged = parts.slice(maximumParts - 2, -1);
    const id = buildKey(merged.map((part) => part.id).join(","));
    const tokens = merged.reduce((sum, part) => sum + part.tokens, 0);
    return [...parts.slice(0, maximumParts - 2), { id, tokens }, ...parts.slice(-1)];
}
