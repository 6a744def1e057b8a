/**
 * Own slots that were offered to other nodes and may be in use there.
 *
 * @packageDocumentation
 */
import type { SlotsByNode } from "./slotPolicy.js";

/** How long a borrower may start work on an offer after it received it, in milliseconds. */
export const loanTermMs = 600;
/** Longest delivery of a summary that is counted on, in milliseconds. */
const maximumDeliveryMs = 600;

interface Offer {
    offered: number;
    /** Greatest number that a borrower may still believe to have. */
    outstanding: number;
    outstandingUntilMs: number;
    /** First summary that carries the present offer. */
    sequence: number;
    /** In use, as the borrower said last. */
    used: number;
}

/** Counts each offered slot as taken until the borrower can no longer start on it. */
export class LentSlotLedger {
    /** Sequence of the summary that will carry a change made now. */
    private sequence = 1;
    private isChanged = false;
    private readonly offers = new Map<string, Map<string, Offer>>();

    /**
     * Changes an offer.
     *
     * @param node - The borrower.
     * @param server - The server.
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
     * Notes that a borrower knows the offers of a summary, so that withdrawn slots are free again.
     *
     * @param node - The borrower.
     * @param sequence - The last summary that it received.
     */
    recordAcknowledged(node: string, sequence: number): void {
        for (const offer of this.offers.get(node)?.values() ?? []) {
            if (sequence >= offer.sequence) {
                offer.outstanding = 0;
            }
        }
    }

    /** @param sequence - Sequence of the summary that carries changes from now on. */
    setSequence(sequence: number): void {
        this.sequence = sequence;
    }

    /** @returns Whether offers changed since the last summary. */
    hasChanges(): boolean {
        return this.isChanged;
    }

    /**
     * Notes what a borrower uses.
     *
     * @param node - The borrower.
     * @param used - Slots in use by server.
     */
    recordUsed(node: string, used: Readonly<Record<string, number>>): void {
        for (const [server, offer] of this.offers.get(node) ?? []) {
            offer.used = used[server] ?? 0;
        }
        for (const [server, count] of Object.entries(used)) {
            this.getOffer(node, server).used = count;
        }
    }

    /**
     * @param server - A server.
     * @param nowMs - Monotonic time.
     * @returns Own slots of the server that others hold or may take.
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

    /**
     * @param node - A borrower.
     * @returns Slots offered to it.
     */
    countOffered(node: string): number {
        let offered = 0;
        for (const offer of this.offers.get(node)?.values() ?? []) {
            offered += offer.offered;
        }
        return offered;
    }

    /**
     * @param node - A borrower.
     * @returns Slots that it uses, as it said last.
     */
    countUsed(node: string): number {
        let used = 0;
        for (const offer of this.offers.get(node)?.values() ?? []) {
            used += offer.used;
        }
        return used;
    }

    /**
     * @param node - A borrower.
     * @param server - A server.
     * @returns Slots offered there.
     */
    readOffered(node: string, server: string): number {
        return this.offers.get(node)?.get(server)?.offered ?? 0;
    }

    /**
     * Withdraws the offers to a node down to what it uses or to nothing.
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

    /** @param node - A node that is gone, with all that it borrowed. */
    removeNode(node: string): void {
        this.offers.delete(node);
    }

    /** @returns Borrowers. */
    listNodes(): string[] {
        return [...this.offers.keys()];
    }

    /** @returns Offers for a summary. */
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
