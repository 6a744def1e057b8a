/**
 * Decides whether a failed attempt is followed by another, and records why it is not.
 *
 * @packageDocumentation
 */
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import type { Clock } from "@pimentocleat/types";
import { minimumRemainingMs, selectRetryReasonTag, type RunState } from "./runState.js";

/** Why a failed attempt is not followed by another. */
export type RetryObstacle = "mayHaveRun" | "attempts" | "time" | "allowance" | "noServer" | "admission";

/** Options of a {@link RetryDecision}. */
export interface RetryDecisionOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Decides and records. */
export class RetryDecision {
    /** @param options - The clock and the recorders. */
    constructor(private readonly options: RetryDecisionOptions) {}

    /**
     * Checks whether an attempt that failed may be followed by another; if so, takes a retry from the allowance. The time
     * is checked before, so that no retry is taken that is then not sent.
     *
     * @param state - State of the request.
     * @param serverId - The server of the attempt.
     * @param isAllowed - Whether the request may be sent again after this failure.
     * @returns Whether another attempt follows.
     */
    takeRetry(state: RunState, serverId: string, isAllowed: boolean): boolean {
        const obstacle = this.findObstacle(state, isAllowed);
        if (obstacle !== undefined) {
            this.recordObstacle(state, serverId, obstacle);
            return false;
        }
        const { lastFailureReason: reason, request } = state;
        this.options.metrics.addCount("request.retried", 1, { reason: selectRetryReasonTag(reason) });
        this.options.logger.writeEvent("requestRetried", {
            requestId: request.head.requestId,
            server: serverId,
            reason,
            attempt: state.attemptCount,
            lastEventId: state.continuity.lastEventId,
        });
        return true;
    }

    /**
     * Records that a failed attempt is not followed by another.
     *
     * @param state - State of the request.
     * @param serverId - The server of the attempt; undefined when another was to be chosen.
     * @param obstacle - The reason.
     */
    recordObstacle(state: RunState, serverId: string | undefined, obstacle: RetryObstacle): void {
        const { request, attemptCount, lastFailureReason } = state;
        this.options.metrics.addCount("request.notRetried", 1, { reason: obstacle });
        this.options.logger.writeEvent("requestNotRetried", {
            requestId: request.head.requestId,
            server: serverId,
            reason: obstacle,
            lastFailure: lastFailureReason,
            attempt: attemptCount,
            remainingMs: Math.round(request.deadlineMs - this.options.clock.monotonicMs()),
        });
    }

    private findObstacle(state: RunState, isAllowed: boolean): RetryObstacle | undefined {
        const { request, dispatch } = state;
        const nowMs = this.options.clock.monotonicMs();
        if (!isAllowed) {
            return "mayHaveRun";
        }
        if (state.attemptCount >= request.route.maximumAttempts) {
            return "attempts";
        }
        if (state.isCancelled || request.deadlineMs - nowMs < minimumRemainingMs) {
            return "time";
        }
        return dispatch.retries.takeRetry(nowMs) ? undefined : "allowance";
    }
}
