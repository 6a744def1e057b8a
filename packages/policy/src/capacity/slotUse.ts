/**
 * Which slots the running requests of a node hold, and the loans that they may hold them by.
 *
 * @packageDocumentation
 */
import { loanTermMs } from "./lentSlotLedger.js";
import type { SlotsByNode } from "./slotPolicy.js";

/** Slots that another node lends. */
export interface Loan {
    readonly slots: Readonly<Record<string, number>>;
    /** The slots are for requests of this tier and higher ones. */
    readonly tier: number;
    readonly receivedMs: number;
}

/** Source of a slot that needed no loan. */
const ownSource = "";

/** Counts own and borrowed slots in use. */
export class SlotUse {
    private readonly loans = new Map<string, Loan>();
    /** Owner of the slot that each running request holds, by server and request. */
    private readonly sources = new Map<string, string>();
    /** Running requests by owner and server. */
    private readonly used = new Map<string, Map<string, number>>();

    /**
     * @param node - The lender.
     * @param loan - What it lends from now on.
     * @returns Whether it lends less than before somewhere.
     */
    setLoan(node: string, loan: Loan): boolean {
        const former = this.loans.get(node)?.slots ?? {};
        this.loans.set(node, loan);
        return Object.entries(former).some(([server, count]) => count > (loan.slots[server] ?? 0));
    }

    /** @param node - A lender that is gone. */
    removeLoan(node: string): void {
        this.loans.delete(node);
    }

    /**
     * @param server - A server.
     * @param tier - Tier of a request to start.
     * @param nowMs - Monotonic time.
     * @returns Borrowed slots that are free for it.
     */
    countFreeLoans(server: string, tier: number, nowMs: number): number {
        let free = 0;
        for (const node of this.loans.keys()) {
            free += Math.max(0, this.countLoan(node, server, tier, nowMs) - this.countUsed(node, server));
        }
        return free;
    }

    /**
     * @param server - A server.
     * @returns Own slots in use.
     */
    countOwn(server: string): number {
        return this.countUsed(ownSource, server);
    }

    /**
     * Notes a start.
     *
     * @param requestId - The request.
     * @param server - Its server.
     * @param lender - Owner of its slot; undefined for an own slot.
     */
    recordStart(requestId: string, server: string, lender: string | undefined): void {
        const source = lender ?? ownSource;
        this.sources.set(formatKey(requestId, server), source);
        this.updateUsed(source, server, 1);
    }

    /**
     * Notes an end.
     *
     * @param requestId - The request.
     * @param server - Its server.
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
     * @param server - A server.
     * @param tier - Tier of a request to start.
     * @param nowMs - Monotonic time.
     * @returns A node whose loan has a free slot.
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
