/**
 * Determines which node should hold a duty. Uses rendezvous hashing, so that a node that joins or leaves moves
 * only its own share of the duties.
 *
 * @packageDocumentation
 */

import { computeRendezvousWeight } from "../hashing/rendezvousWeight.js";

/**
 * Computes a node's rank in the order of preference for a duty.
 *
 * @param duty - Name of the duty.
 * @param node - The node to rank.
 * @param nodes - All nodes known to be live; the ranked node counts even if it is not listed.
 * @returns The number of nodes that are preferred to it: 0 for the preferred holder.
 */
export function computePreferenceRank(duty: string, node: string, nodes: readonly string[]): number {
    const weight = computeRendezvousWeight(duty, node);
    return new Set(nodes.filter((other) => isPreferred(duty, other, node, weight))).size;
}

function isPreferred(duty: string, other: string, node: string, weight: number): boolean {
    const otherWeight = computeRendezvousWeight(duty, other);
    return otherWeight > weight || (otherWeight === weight && other < node);
}
