/**
 * Tracks the own and borrowed slots that the running requests of a node hold, and the loans from other nodes.
 *
 * @packageDocumentation
 */
import { loanTermMs } from "./lentSlotLedger.js";
import type { SlotsByNode } from "./slotPolicy.js";

/** Slots that another node lends. */
export interface Loan {
    readonly slots: Readonly<Record<string, number>>;
    /** Lowest tier that may use the slots; higher tiers may use them too. */
    readonly tier: number;
    readonly receivedMs: number;
}

/** Marks a slot that this node owns. */
const ownSource = "";

/** Counts own and borrowed slots in use. */
export class SlotUse {
    private readonly loans = new Map<string, Loan>();
    /** Owner of the slot that each running request holds, by server and request. */
    private readonly sources = new Map<string, string>();
    /** Running requests by owner and server. */
    private readonly used = new Map<string, Map<string, number>>();

    /**
     * Replaces the loan of a lender.
     *
     * @param node - The lender.
     * @param loan - The loan that replaces the lender's earlier one.
     * @returns Whether the lender now lends fewer slots of some server.
     */
    setLoan(node: string, loan: Loan): boolean {
        const previous = this.loans.get(node)?.slots ?? {};
        this.loans.set(node, loan);
        return Object.entries(previous).some(([server, count]) => count > (loan.slots[server] ?? 0));
    }

    /** Removes the loan of a silent or removed lender; requests that already run on its slots keep them. */
    removeLoan(node: string): void {
        this.loans.delete(node);
    }

    /**
     * Counts the free borrowed slots of a server for a request of a tier.
     *
     * @param server - A server.
     * @param tier - Tier of a request to start.
     * @param nowMs - Monotonic time.
     * @returns Borrowed slots that the request may use.
     */
    countFreeLoans(server: string, tier: number, nowMs: number): number {
        let free = 0;
        for (const node of this.loans.keys()) {
            free += Math.max(0, this.countLoan(node, server, tier, nowMs) - this.countUsed(node, server));
        }
        return free;
    }

    /** Counts the own slots of a server that are in use. */
    countOwn(server: string): number {
        return this.countUsed(ownSource, server);
    }

    /**
     * Records that a request started.
     *
     * @param requestId - The request.
     * @param server - Server of the request.
     * @param lender - Owner of the request's slot; undefined for an own slot.
     */
    recordStart(requestId: string, server: string, lender: string | undefined): void {
        const source = lender ?? ownSource;
        this.sources.set(formatKey(requestId, server), source);
        this.updateUsed(source, server, 1);
    }

    /**
     * Records that a request ended.
     *
     * @param requestId - The request.
     * @param server - Server of the request.
     * @returns Whether a borrowed slot became free.
     */
    recordEnd(requestId: string, server: string): boolean {
        const key = formatKey(requestId, server);
        const source = this.sources.get(key);
        if (source === undefined) {
            return false;
        }
        this.sources.delete(key);
        this.updateUsed(source, server, -1);
        return source !== ownSource;
    }

    /**
     * Finds a lender of a free slot for a request of a tier.
     *
     * @param server - A server.
     * @param tier - Tier of a request to start.
     * @param nowMs - Monotonic time.
     * @returns A node whose loan has a free slot, or undefined when none has.
     */
    findLender(server: string, tier: number, nowMs: number): string | undefined {
        return [...this.loans.keys()].find(
            (node) => this.countLoan(node, server, tier, nowMs) > this.countUsed(node, server),
        );
    }

    /** @returns Borrowed slots in use, for a summary. */
    summarizeBorrowed(): SlotsByNode {
        const borrowed: Record<string, Record<string, number>> = {};
        for (const [node, servers] of this.used) {
            const inUse = [...servers].filter(([, count]) => count > 0);
            if (node !== ownSource && inUse.length > 0) {
                borrowed[node] = Object.fromEntries(inUse);
            }
        }
        return borrowed;
    }

    private countLoan(node: string, server: string, tier: number, nowMs: number): number {
        const loan = this.loans.get(node);
        if (loan === undefined || nowMs - loan.receivedMs > loanTermMs || tier > loan.tier) {
            return 0;
        }
        return loan.slots[server] ?? 0;
    }

    private countUsed(source: string, server: string): number {
        return this.used.get(source)?.get(server) ?? 0;
    }

    private updateUsed(source: string, server: string, amount: number): void {
        const servers = this.used.get(source) ?? new Map<string, number>();
        this.used.set(source, servers);
        servers.set(server, (servers.get(server) ?? 0) + amount);
    }
}

function formatKey(requestId: string, server: string): string {
    return `${server} ${requestId}`;
}
