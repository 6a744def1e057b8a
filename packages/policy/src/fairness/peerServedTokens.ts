/**
 * Tracks the tokens that the other nodes served, so that a customer has one share over all nodes.
 *
 * @packageDocumentation
 */
import type { PoolSummary } from "../scheduling/poolScheduler.js";

interface PeerTotals {
    sequence: number;
    readonly tokens: Map<string, number>;
}

/** A change of a customer's served tokens. */
export interface ServedChange {
    readonly requestClass: string;
    readonly customer: string;
    readonly tokens: number;
}

/** Computes changes from the cumulative totals that peers send. */
export class PeerServedTokens {
    private readonly peers = new Map<string, PeerTotals>();

    /**
     * Compares a summary with the peer's previous one.
     *
     * @param summary - A peer's summary.
     * @returns The changes; none for an old or repeated summary. The first summary of a peer counts as no
     * change, since its totals cover time before this node received from it.
     */
    recordSummary(summary: PoolSummary): ServedChange[] {
        const known = this.peers.get(summary.node);
        if (known !== undefined && summary.sequence <= known.sequence) {
            return [];
        }
        const peer = known ?? { sequence: 0, tokens: new Map<string, number>() };
        this.peers.set(summary.node, peer);
        peer.sequence = summary.sequence;
        const changes: ServedChange[] = [];
        for (const [name, total] of Object.entries(summary.servedTokens)) {
            const before = peer.tokens.get(name) ?? (known === undefined ? total : 0);
            peer.tokens.set(name, total);
            const [requestClass, customer] = name.split("/");
            if (total !== before && requestClass !== undefined && customer !== undefined) {
                changes.push({ requestClass, customer, tokens: total - before });
            }
        }
        return changes;
    }

    /** Removes the totals of a peer that was removed. */
    removePeer(node: string): void {
        this.peers.delete(node);
    }
}
