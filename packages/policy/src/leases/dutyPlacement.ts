/**
 * Which node should hold a duty: rendezvous hashing, so that a node that comes or goes moves only its share.
 *
 * @packageDocumentation
 */

import { computeRendezvousWeight } from "../hashing/rendezvousWeight.js";

/**
 * Computes a node's place in the order of preference for a duty.
 *
 * @param duty - Name of the duty.
 * @param node - The node that asks.
 * @param nodes - All nodes known to be live; the node itself counts even if it is not listed.
 * @returns 0 for the preferred holder.
 */
export function computePreferenceRank(duty: string, node: string, nodes: readonly string[]): number {
    const weight = computeRendezvousWeight(duty, node);
    return new Set(nodes.filter((other) => isPreferred(duty, other, node, weight))).size;
}

function isPreferred(duty: string, other: string, node: string, weight: number): boolean {
    const otherWeight = computeRendezvousWeight(duty, other);
    return otherWeight > weight || (otherWeight === weight && other < node);
}
