/**
 * Sums the waiting requests and request rates of the other nodes by class.
 *
 * @packageDocumentation
 */
import type { PoolSummary } from "../scheduling/poolScheduler.js";
import { maximumSilenceMs } from "./poolMembers.js";

/** Demand of one class, summed over the other nodes. */
export interface ClassDemand {
    readonly waiting: number;
    /** Arriving requests per second. */
    readonly perSecond: number;
    /** Node with the most waiting requests; the first by name among equals. */
    readonly largestNode: string;
    readonly largestWaiting: number;
    /** Time of the last start that a node reported, in monotonic milliseconds. */
    readonly lastStartMs: number;
}

interface PeerReport {
    readonly summary: PoolSummary;
    readonly receivedMs: number;
}

const noDemand: ClassDemand = {
    waiting: 0,
    perSecond: 0,
    largestNode: "",
    largestWaiting: 0,
    lastStartMs: -Infinity,
};

/** Keeps the last summary of each other node and sums them by class. */
export class PeerDemand {
    private readonly reports = new Map<string, PeerReport>();
    private sums = new Map<string, ClassDemand>();

    /**
     * Records a peer's summary and updates the sums.
     *
     * @param summary - A peer's summary.
     * @param nowMs - Monotonic time.
     * @returns Slot starts of the peer since its last summary, by class.
     */
    recordSummary(summary: PoolSummary, nowMs: number): Map<string, number> {
        const before = this.reports.get(summary.node)?.summary.starts;
        const starts = new Map<string, number>();
        for (const [name, count] of Object.entries(summary.starts ?? {})) {
            starts.set(name, Math.max(0, count - (before?.[name] ?? count)));
        }
        this.reports.set(summary.node, { summary, receivedMs: nowMs });
        this.updateSums(nowMs);
        return starts;
    }

    /** Removes the report of a peer that was removed; the sums follow with the next summary. */
    removePeer(node: string): void {
        this.reports.delete(node);
    }

    /** Reads the demand of a class at the other nodes. */
    readDemand(requestClass: string): ClassDemand {
        return this.sums.get(requestClass) ?? noDemand;
    }

    private updateSums(nowMs: number): void {
        this.sums = new Map();
        for (const [node, { summary, receivedMs }] of this.reports) {
            if (nowMs - receivedMs > maximumSilenceMs) {
                this.reports.delete(node);
                continue;
            }
            for (const name of Object.keys(summary.waiting)) {
                this.sums.set(name, addReport(this.readDemand(name), name, { summary, receivedMs }));
            }
        }
    }
}

function addReport(sum: ClassDemand, name: string, { summary, receivedMs }: PeerReport): ClassDemand {
    const waiting = summary.waiting[name] ?? 0;
    const isTie = waiting === sum.largestWaiting && summary.node < sum.largestNode;
    const isLargest = waiting > sum.largestWaiting || isTie;
    return {
        waiting: sum.waiting + waiting,
        perSecond: sum.perSecond + (summary.demand[name] ?? 0),
        largestNode: isLargest ? summary.node : sum.largestNode,
        largestWaiting: isLargest ? waiting : sum.largestWaiting,
        lastStartMs: Math.max(sum.lastStartMs, receivedMs - (summary.sinceStartMs?.[name] ?? Infinity)),
    };
}
