/**
 * Health of one server: recent failures, pace relative to the pool, probation and leaving notice.
 *
 * @packageDocumentation
 */
import { MeanEstimator } from "../scheduling/estimators.js";
import type { AttemptOutcome } from "../scheduling/poolScheduler.js";

/** Whether and how a server may be used. */
export type ServerCondition = "normal" | "probation" | "leaving" | "down";

/** Consecutive failures after which a server is paused. */
const failuresUntilDown = 2;
/** Pause after that many failures; it doubles with each further failure, up to the maximum. */
const initialPauseMs = 1_000;
const maximumPauseMs = 30_000;
const minimumPaceSamples = 8;
/** A server becomes a straggler when its pace exceeds the pool's median by more than this factor. */
const stragglerRatio = 2;
/** A straggler recovers when its pace is at most this multiple of the median. */
const stragglerRecoveryRatio = 1.5;
const paceGain = 0.1;
/**
 * Time after the announced departure before a load report means that the server is back; it may leave later than
 * announced.
 */
const returnMarginMs = 10_000;

/** Tracks the health of one server. */
export class ServerHealth {
    /** Milliseconds per token, or per complete answer of a plain service. */
    private readonly pace = new MeanEstimator(0, paceGain);
    private failures = 0;
    private pausedUntilMs = 0;
    private straggling = false;
    private leavesAtMs: number | undefined;

    /**
     * Records a pace sample.
     *
     * @param paceMs - The time per token, or per answer of a plain service, in milliseconds.
     */
    recordPace(paceMs: number): void {
        this.pace.record(paceMs);
    }

    /**
     * Records the outcome of an attempt, and pauses the server after consecutive failures.
     *
     * @param outcome - The outcome.
     * @param nowMs - The monotonic time, in milliseconds.
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

    /**
     * Records a leaving notice; the earliest announced time counts.
     *
     * @param leavesAtMs - The time at which the server will leave, in monotonic milliseconds.
     */
    recordLeaving(leavesAtMs: number): void {
        this.leavesAtMs = Math.min(leavesAtMs, this.leavesAtMs ?? Infinity);
    }

    /**
     * Records that a server was alive. Once the announced departure has passed by a margin, this cancels the leaving
     * notice.
     *
     * @param aliveMs - The time at which the server was alive, in monotonic milliseconds.
     * @returns Whether the leaving notice was cancelled.
     */
    recordReturn(aliveMs: number): boolean {
        if (this.leavesAtMs === undefined || aliveMs < this.leavesAtMs + returnMarginMs) {
            return false;
        }
        this.leavesAtMs = undefined;
        return true;
    }

    /** @returns The time at which the server leaves, in monotonic milliseconds, or undefined without a notice. */
    readLeavesAtMs(): number | undefined {
        return this.leavesAtMs;
    }

    /** @returns The mean pace, in milliseconds, or undefined before there are enough samples. */
    readPaceMs(): number | undefined {
        return this.pace.countSamples() < minimumPaceSamples ? undefined : this.pace.readMean();
    }

    /**
     * Updates whether the server is a straggler.
     *
     * @param medianMs - The median pace of the pool's servers, in milliseconds.
     */
    updateStraggler(medianMs: number): void {
        const paceMs = this.readPaceMs();
        if (paceMs !== undefined && medianMs > 0) {
            const limit = this.straggling ? stragglerRecoveryRatio : stragglerRatio;
            this.straggling = paceMs > medianMs * limit;
        }
    }

    /** Determines the condition of the server. */
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
     * Reads the end of the current pause.
     *
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The time at which the server may be used again, in monotonic milliseconds, or undefined when it isn't
     * paused.
     */
    readPausedUntilMs(nowMs: number): number | undefined {
        return this.pausedUntilMs > nowMs ? this.pausedUntilMs : undefined;
    }

    /** @returns Whether the server is a straggler, that is, slow compared with the rest of the pool. */
    isStraggler(): boolean {
        return this.straggling;
    }
}
