/**
 * Load reports, corrected for their age by this node's own dispatches.
 *
 * @packageDocumentation
 */
import type { LoadReport } from "../scheduling/poolScheduler.js";

interface LoadChange {
    readonly atMs: number;
    readonly amount: number;
}

const historyMs = 10_000;

/** Estimates the requests that a server runs for all nodes. */
export class ReportedLoad {
    private changes: LoadChange[] = [];
    private report: { running: number; takenAtMs: number } | undefined;
    private own = 0;

    /**
     * @param amount - 1 for an own start, -1 for an own end.
     * @param nowMs - Monotonic time.
     */
    recordChange(amount: number, nowMs: number): void {
        this.own += amount;
        this.changes.push({ atMs: nowMs, amount });
        if ((this.changes[0]?.atMs ?? nowMs) < nowMs - 2 * historyMs) {
            this.changes = this.changes.filter((change) => change.atMs >= nowMs - historyMs);
        }
    }

    /**
     * @param report - A report of the server; an older one than known is ignored.
     * @param nowMs - Monotonic time of its arrival.
     */
    recordReport(report: LoadReport, nowMs: number): void {
        const takenAtMs = nowMs - report.ageMs;
        if (this.report === undefined || takenAtMs >= this.report.takenAtMs) {
            const running = report.runningRequests + report.waitingRequests;
            this.report = { running, takenAtMs };
        }
    }

    /** @returns Own requests on the server. */
    countOwn(): number {
        return this.own;
    }

    /**
     * @param nowMs - Monotonic time.
     * @returns Requests of all nodes: the report, plus own changes since it was taken.
     */
    estimateTotal(nowMs: number): number {
        if (this.report === undefined || nowMs - this.report.takenAtMs > historyMs) {
            return this.own;
        }
        let total = this.report.running;
        for (const change of this.changes) {
            if (change.atMs > this.report.takenAtMs) {
                total += change.amount;
            }
        }
        return Math.max(total, this.own);
    }
}
