/**
 * Chooses the action after a failed attempt: applies the policy's retry table, the retry budget and the
 * idempotency claim.
 *
 * @packageDocumentation
 */
import {
    buildFailure,
    chooseRetryAction,
    type FailedAttempt,
    type FailedOutcome,
    type RetryBudget,
} from "@pimentocleat/policy";
import { RouterError } from "@pimentocleat/types";
import type { AttemptFailure, AttemptFailureType } from "../upstream/attemptFailure.js";

/** A failed attempt and the state of its request. */
export interface FailureContext {
    readonly failure: AttemptFailure;
    /** Number of the failed attempt, starting at 1; moves are not counted. */
    readonly attempt: number;
    /**
     * Whether an earlier attempt of the same request may have reached a backend server; one that the server
     * rejected does not count.
     */
    readonly earlierAttemptSent: boolean;
    /** Whether the request may reach a backend server more than once. */
    readonly repeatable: boolean;
    /** Whether the request holds a claim on its idempotency key. */
    readonly claimed: boolean;
    /** Tokens that the caller has received. */
    readonly streamedTokens: number;
    /** Whether the stream can continue on another server. */
    readonly resumable: boolean;
    /** Whether the scheduler moved the request; a move is not charged to the retry budget. */
    readonly moved: boolean;
}

/** The action after a failed attempt. */
export type FailureAction =
    { readonly type: "tryElsewhere" } | { readonly type: "fail"; readonly error: RouterError };

const failureOutcomes: Readonly<Record<AttemptFailureType, FailedOutcome>> = {
    connectFailed: "failed",
    connectionLost: "failed",
    timedOut: "timedOut",
    mismatched: "mismatched",
    invalidAnswer: "failed",
    rejected: "rejected",
    failedStatus: "failed",
    cancelled: "failed",
};

/**
 * Chooses the action after a failed attempt. A retry that repeats work is charged to the retry budget.
 * A retry after a connection that could not be opened, a resumed stream and a move repeat no work and are not
 * charged.
 *
 * @param context - The failed attempt and the state of its request.
 * @param budget - Retry budget of the pool.
 * @returns Another attempt, or the error for the caller.
 */
export function chooseFailureAction(context: FailureContext, budget: RetryBudget): FailureAction {
    const { repeatable, claimed, moved, failure, streamedTokens } = context;
    const action = chooseRetryAction(buildFailedAttempt(context));
    if (action.type === "fail" || (!repeatable && !claimed)) {
        return { type: "fail", error: buildFailureError(context) };
    }
    const charged = !moved && failure.sent && streamedTokens === 0;
    if (charged && !budget.tryTake()) {
        return { type: "fail", error: buildFailureError(context) };
    }
    return { type: "tryElsewhere" };
}

/**
 * Converts a failure to the outcome that the scheduler records.
 *
 * @param failure - The failure.
 * @returns The outcome for the scheduler.
 */
export function convertFailureToOutcome(failure: AttemptFailure): FailedOutcome {
    return failureOutcomes[failure.type];
}

/**
 * Builds the error for a failed attempt that is not retried.
 *
 * @param context - The failed attempt and the state of its request.
 * @returns The error; its `executed` is "no" only when no attempt can have run the request.
 */
export function buildFailureError(context: FailureContext): RouterError {
    const { kind, executed } = buildFailure(buildFailedAttempt(context));
    return new RouterError(kind, undefined, {
        executed: context.earlierAttemptSent ? "unknown" : executed,
        retryAfterMs: context.failure.retryAfterMs,
    });
}

function buildFailedAttempt(context: FailureContext): FailedAttempt {
    const { failure, attempt, repeatable, streamedTokens, resumable } = context;
    return {
        outcome: convertFailureToOutcome(failure),
        repeatable,
        bytesSent: failure.sent,
        tokensStreamed: streamedTokens,
        resumable,
        attempt,
    };
}
