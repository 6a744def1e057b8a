/**
 * Corrects a server's load reports for their age with this node's own dispatches.
 *
 * @packageDocumentation
 */
import type { LoadReport } from "../scheduling/poolScheduler.js";

interface LoadChange {
    readonly atMs: number;
    readonly amount: number;
}

/** Age at which a report, or a recorded change, is no longer used. */
const historyMs = 10_000;

/** Estimates the number of requests that a server runs for all nodes. */
export class ReportedLoad {
    private changes: LoadChange[] = [];
    private report: { running: number; takenAtMs: number } | undefined;
    private ownRequests = 0;

    /**
     * Records that an own request started or ended.
     *
     * @param amount - 1 when an own request starts, -1 when one ends.
     * @param nowMs - Monotonic time.
     */
    recordChange(amount: number, nowMs: number): void {
        this.ownRequests += amount;
        this.changes.push({ atMs: nowMs, amount });
        if ((this.changes[0]?.atMs ?? nowMs) < nowMs - 2 * historyMs) {
            this.changes = this.changes.filter((change) => change.atMs >= nowMs - historyMs);
        }
    }

    /**
     * Records a load report.
     *
     * @param report - A report of the server; ignored when it was taken before the known one.
     * @param nowMs - Monotonic time of the report's arrival.
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
        return this.ownRequests;
    }

    /**
     * Estimates the number of requests on the server.
     *
     * @param nowMs - Monotonic time.
     * @returns Requests of all nodes: those in the report plus own changes since it was taken, or own
     * requests only when there is no recent report.
     */
    estimateTotal(nowMs: number): number {
        if (this.report === undefined || nowMs - this.report.takenAtMs > historyMs) {
            return this.ownRequests;
        }
        let total = this.report.running;
        for (const change of this.changes) {
            if (change.atMs > this.report.takenAtMs) {
                total += change.amount;
            }
        }
        return Math.max(total, this.ownRequests);
    }
}
