/**
 * Health of one server: failures, pace against the pool, probation and notice.
 *
 * @packageDocumentation
 */
import { MeanEstimator } from "../scheduling/estimators.js";
import type { AttemptOutcome } from "../scheduling/poolScheduler.js";

/** Whether and how a server may be used. */
export type ServerCondition = "normal" | "probation" | "leaving" | "down";

const failuresUntilDown = 2;
const initialPauseMs = 1_000;
const maximumPauseMs = 30_000;
const minimumPaceSamples = 8;
/** A server is a straggler when its pace is this much worse than the pool's median. */
const stragglerRatio = 2;
/** It leaves probation when its pace is below this much of the median. */
const stragglerRecoveryRatio = 1.5;
const paceGain = 0.1;
/** A server that goes late is not taken for one that came back. */
const returnMarginMs = 10_000;

/** Follows one server. */
export class ServerHealth {
    /** Milliseconds a token, or a whole answer of a plain service. */
    private readonly pace = new MeanEstimator(0, paceGain);
    private failures = 0;
    private pausedUntilMs = 0;
    private straggling = false;
    private leavesAtMs: number | undefined;

    /** @param paceMs - Time for one token or one plain answer, in milliseconds. */
    recordPace(paceMs: number): void {
        this.pace.record(paceMs);
    }

    /**
     * @param outcome - How a try ended.
     * @param nowMs - Monotonic time.
     */
    recordOutcome(outcome: AttemptOutcome, nowMs: number): void {
        if (outcome === "completed") {
            this.failures = 0;
        } else if (outcome === "failed" || outcome === "timedOut") {
            this.failures += 1;
            const doublings = Math.max(0, this.failures - failuresUntilDown);
            const pauseMs = Math.min(initialPauseMs * 2 ** doublings, maximumPauseMs);
            this.pausedUntilMs = this.failures < failuresUntilDown ? 0 : nowMs + pauseMs;
        }
    }

    /** @param leavesAtMs - When the server goes, in monotonic milliseconds. */
    recordLeaving(leavesAtMs: number): void {
        this.leavesAtMs = Math.min(leavesAtMs, this.leavesAtMs ?? Infinity);
    }

    /**
     * Notes a sign of life; after the notice's end it means that the server is back.
     *
     * @param aliveMs - When the server was alive, in monotonic milliseconds.
     * @returns Whether the server is back.
     */
    recordReturn(aliveMs: number): boolean {
        if (this.leavesAtMs === undefined || aliveMs < this.leavesAtMs + returnMarginMs) {
            return false;
        }
        this.leavesAtMs = undefined;
        return true;
    }

    /** @returns When the server goes, in monotonic milliseconds. */
    readLeavesAtMs(): number | undefined {
        return this.leavesAtMs;
    }

    /** @returns Pace in milliseconds, undefined before enough samples. */
    readPaceMs(): number | undefined {
        return this.pace.countSamples() < minimumPaceSamples ? undefined : this.pace.readMean();
    }

    /** @param medianMs - Median pace of the pool's servers, in milliseconds. */
    updateStraggler(medianMs: number): void {
        const paceMs = this.readPaceMs();
        if (paceMs !== undefined && medianMs > 0) {
            const limit = this.straggling ? stragglerRecoveryRatio : stragglerRatio;
            this.straggling = paceMs > medianMs * limit;
        }
    }

    /**
     * @param nowMs - Monotonic time.
     * @returns Whether and how the server may be used.
     */
    readCondition(nowMs: number): ServerCondition {
        if (this.leavesAtMs !== undefined) {
            return "leaving";
        }
        if (nowMs < this.pausedUntilMs) {
            return "down";
        }
        return this.failures >= failuresUntilDown || this.straggling ? "probation" : "normal";
    }

    /**
     * @param nowMs - Monotonic time.
     * @returns When a paused server may be tried again; undefined when it isn't paused.
     */
    readPausedUntilMs(nowMs: number): number | undefined {
        return this.pausedUntilMs > nowMs ? this.pausedUntilMs : undefined;
    }

    /** @returns Whether the server is slow against the pool. */
    isStraggler(): boolean {
        return this.straggling;
    }
}
