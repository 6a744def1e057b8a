/**
 * Which node should hold a duty: rendezvous hashing, so that a node that comes or goes moves only its share.
 *
 * @packageDocumentation
 */

const hashOffset = 0x811c9dc5;
const hashPrime = 0x01000193;

/**
 * Computes a node's place in the order of preference for a duty.
 *
 * @param duty - Name of the duty.
 * @param node - The node that asks.
 * @param nodes - All nodes known to be live; the node itself counts even if it is not listed.
 * @returns 0 for the preferred holder.
 */
export function computePreferenceRank(duty: string, node: string, nodes: readonly string[]): number {
    const weight = computeWeight(duty, node);
    return new Set(nodes.filter((other) => isPreferred(duty, other, node, weight))).size;
}

function isPreferred(duty: string, other: string, node: string, weight: number): boolean {
    const otherWeight = computeWeight(duty, other);
    return otherWeight > weight || (otherWeight === weight && other < node);
}

/** FNV-1a with a final avalanche, because names that differ in their last letter are common. */
function computeWeight(duty: string, node: string): number {
    let hash = hashOffset;
    for (const character of `${duty}\n${node}`) {
        hash = Math.imul(hash ^ (character.codePointAt(0) ?? 0), hashPrime);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
