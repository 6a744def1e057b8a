/**
 * Chooses the nodes that receive copies of counts.
 *
 * @packageDocumentation
 */
import type { PeerAddress } from "./peerDirectory.js";
import { chooseRandomItems } from "./randomItems.js";

/** Options of {@link chooseCopyHolders}. */
export interface CopyHolderOptions {
    /** Data centre of this node. */
    readonly dataCentre: string;
    /** Number of nodes to choose, at most. */
    readonly count: number;
    /** Source of randomness, 0 to 1. */
    readonly random: () => number;
}

/**
 * Chooses nodes of different data centres, since the links of one data centre often fail together: first one of another
 * data centre, then one of this node's, then those of the remaining ones in turn.
 *
 * @param peers - The other nodes.
 * @param options - This node and the number of nodes.
 * @returns The chosen nodes.
 */
export function chooseCopyHolders(
    peers: readonly PeerAddress[],
    { dataCentre, count, random }: CopyHolderOptions,
): readonly PeerAddress[] {
    const byDataCentre = new Map<string, PeerAddress[]>();
    for (const peer of peers) {
        byDataCentre.set(peer.dataCentre, [...(byDataCentre.get(peer.dataCentre) ?? []), peer]);
    }
    const near = byDataCentre.get(dataCentre) ?? [];
    byDataCentre.delete(dataCentre);
    const [firstOther, ...others] = chooseRandomItems([...byDataCentre.values()], byDataCentre.size, random);
    const groups = [firstOther ?? [], near, ...others].map((group) =>
        chooseRandomItems(group, count, random),
    );
    const rounds = [...Array(count).keys()];
    return rounds
        .flatMap((round) => groups.flatMap((group) => group.slice(round, round + 1)))
        .slice(0, count);
}
