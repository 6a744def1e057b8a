/**
 * Records the own slots that were offered to other nodes and may be in use there.
 *
 * @packageDocumentation
 */
import type { SlotsByNode } from "./slotPolicy.js";

/** Time after a borrower received an offer during which it may start work on it, in milliseconds. */
export const loanTermMs = 600;
/** Assumed maximum delivery time of a summary, in milliseconds. */
const maximumDeliveryMs = 600;

interface Offer {
    offered: number;
    /** Maximum number of slots that the borrower may still use under an earlier offer. */
    outstanding: number;
    /** End of the earlier offers, in monotonic milliseconds, if the borrower acknowledges nothing before. */
    outstandingUntilMs: number;
    /** Sequence of the first summary that carries the current offer. */
    sequence: number;
    /** Slots in use, as last reported by the borrower. */
    used: number;
}

/** Counts each offered slot as taken until the borrower can no longer start a request on it. */
export class LentSlotLedger {
    /** Sequence of the summary that will carry a change made now. */
    private sequence = 1;
    private isChanged = false;
    private readonly offers = new Map<string, Map<string, Offer>>();

    /**
     * Changes the number of slots of a server that are offered to a borrower.
     *
     * @param node - The borrower.
     * @param server - The server that has the slots.
     * @param count - Slots offered from now on.
     * @param nowMs - Monotonic time.
     */
    setOffered(node: string, server: string, count: number, nowMs: number): void {
        const offer = this.getOffer(node, server);
        if (count < offer.offered) {
            offer.outstanding = Math.max(this.readOutstanding(offer, nowMs), offer.offered);
            offer.outstandingUntilMs = nowMs + loanTermMs + maximumDeliveryMs;
        }
        if (count !== offer.offered) {
            offer.sequence = this.sequence;
            this.isChanged = true;
        }
        offer.offered = count;
    }

    /**
     * Records that a borrower received the offers of a summary, which frees the slots withdrawn in it.
     *
     * @param node - The borrower.
     * @param sequence - Sequence of the last summary that it received.
     */
    recordAcknowledged(node: string, sequence: number): void {
        for (const offer of this.offers.get(node)?.values() ?? []) {
            if (sequence >= offer.sequence) {
                offer.outstanding = 0;
            }
        }
    }

    /** Sets the sequence of the next summary, which carries changes from now on. */
    setSequence(sequence: number): void {
        this.sequence = sequence;
    }

    /** @returns Whether offers changed since the last summary. */
    hasChanges(): boolean {
        return this.isChanged;
    }

    /** Records which slots a borrower uses, by server. */
    recordUsed(node: string, used: Readonly<Record<string, number>>): void {
        for (const [server, offer] of this.offers.get(node) ?? []) {
            offer.used = used[server] ?? 0;
        }
        for (const [server, count] of Object.entries(used)) {
            this.getOffer(node, server).used = count;
        }
    }

    /**
     * Counts the own slots of a server that are not available to this node.
     *
     * @param server - A server.
     * @param nowMs - Monotonic time.
     * @returns Own slots of the server that other nodes use or may still use.
     */
    countTaken(server: string, nowMs: number): number {
        let taken = 0;
        for (const offers of this.offers.values()) {
            const offer = offers.get(server);
            if (offer !== undefined) {
                taken += Math.max(offer.offered, this.readOutstanding(offer, nowMs), offer.used);
            }
        }
        return taken;
    }

    /** Counts the slots of all servers that are offered to a borrower. */
    countOffered(node: string): number {
        let offered = 0;
        for (const offer of this.offers.get(node)?.values() ?? []) {
            offered += offer.offered;
        }
        return offered;
    }

    /** Counts the slots of all servers that a borrower uses, as last reported by the borrower. */
    countUsed(node: string): number {
        let used = 0;
        for (const offer of this.offers.get(node)?.values() ?? []) {
            used += offer.used;
        }
        return used;
    }

    /**
     * Reads the current offer of a server to a borrower.
     *
     * @param node - A borrower.
     * @param server - A server.
     * @returns Slots of the server offered to the borrower.
     */
    readOffered(node: string, server: string): number {
        return this.offers.get(node)?.get(server)?.offered ?? 0;
    }

    /**
     * Withdraws the offers to a node, either completely or down to the slots in use.
     *
     * @param node - The borrower.
     * @param keepUsed - Whether slots in use stay offered.
     * @param nowMs - Monotonic time.
     */
    withdrawOffers(node: string, keepUsed: boolean, nowMs: number): void {
        for (const [server, offer] of this.offers.get(node) ?? []) {
            const kept = keepUsed ? Math.min(offer.offered, offer.used) : 0;
            this.setOffered(node, server, kept, nowMs);
        }
    }

    /** Removes all offers to a silent or removed borrower together with its recorded use. */
    removeNode(node: string): void {
        this.offers.delete(node);
    }

    /** @returns Nodes that were offered slots. */
    listNodes(): string[] {
        return [...this.offers.keys()];
    }

    /** @returns Current offers by borrower and server, for the next summary; resets `hasChanges`. */
    summarizeOffers(): SlotsByNode {
        const lent: Record<string, Record<string, number>> = {};
        this.isChanged = false;
        for (const [node, offers] of this.offers) {
            for (const [server, { offered }] of offers) {
                if (offered > 0) {
                    (lent[node] ??= {})[server] = offered;
                }
            }
        }
        return lent;
    }

    private readOutstanding(offer: Offer, nowMs: number): number {
        return nowMs <= offer.outstandingUntilMs ? offer.outstanding : 0;
    }

    private getOffer(node: string, server: string): Offer {
        let offers = this.offers.get(node);
        if (offers === undefined) {
            offers = new Map();
            this.offers.set(node, offers);
        }
        let offer = offers.get(server);
        if (offer === undefined) {
            offer = { offered: 0, outstanding: 0, outstandingUntilMs: 0, sequence: 0, used: 0 };
            offers.set(server, offer);
        }
        return offer;
    }
}
