/**
 * What waits and arrives at the other nodes, by class.
 *
 * @packageDocumentation
 */
import type { PoolSummary } from "../scheduling/poolScheduler.js";
import { silenceLimitMs } from "./members.js";

/** Sums over the other nodes. */
export interface ClassDemand {
    readonly waiting: number;
    /** Requests a second. */
    readonly perSecond: number;
}

interface PeerReport {
    readonly summary: PoolSummary;
    readonly receivedMs: number;
}

const noDemand: ClassDemand = { waiting: 0, perSecond: 0 };

/** Keeps the last summary of each other node. */
export class PeerDemand {
    private readonly reports = new Map<string, PeerReport>();
    private sums = new Map<string, ClassDemand>();

    /**
     * @param summary - A peer's summary.
     * @param nowMs - Monotonic time.
     */
    recordSummary(summary: PoolSummary, nowMs: number): void {
        this.reports.set(summary.node, { summary, receivedMs: nowMs });
        this.updateSums(nowMs);
    }

    /** @param node - A peer that is gone. */
    removePeer(node: string): void {
        this.reports.delete(node);
    }

    /**
     * @param requestClass - A class.
     * @returns Its demand at the other nodes.
     */
    readDemand(requestClass: string): ClassDemand {
        return this.sums.get(requestClass) ?? noDemand;
    }

    private updateSums(nowMs: number): void {
        this.sums = new Map();
        for (const [node, { summary, receivedMs }] of this.reports) {
            if (nowMs - receivedMs > silenceLimitMs) {
                this.reports.delete(node);
                continue;
            }
            for (const [name, count] of Object.entries(summary.waiting)) {
                const sum = this.readDemand(name);
                this.sums.set(name, {
                    waiting: sum.waiting + count,
                    perSecond: sum.perSecond + (summary.demand[name] ?? 0),
                });
            }
        }
    }
}
