/**
 * What to do after a failed try: the policy's table, with what only the request path knows.
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

/** A failed try and what the caller has so far. */
export interface FailureContext {
    readonly failure: AttemptFailure;
    readonly attempt: number;
    /** Whether an earlier try of the same request may have reached a backend server. */
    readonly earlierAttemptSent: boolean;
    /** Whether the request may reach a backend server more than once. */
    readonly repeatable: boolean;
    /** Whether a request that may not be repeated has a claim on its idempotency key. */
    readonly claimed: boolean;
    readonly streamedTokens: number;
    readonly resumable: boolean;
    /** Whether the scheduler moved the request; such a move is not charged to the budget. */
    readonly moved: boolean;
}

/** What to do. */
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
 * Chooses what to do after a failed try. Tries that generate work again are charged to the budget;
 * a connection that never opened, a continued stream and a move generate none.
 *
 * @param situation - The failure and what the caller has so far.
 * @param budget - The pool's budget of retries.
 * @returns Another try, or the error for the caller.
 */
export function chooseFailureAction(situation: FailureContext, budget: RetryBudget): FailureAction {
    const { repeatable, claimed, moved, failure, streamedTokens } = situation;
    const action = chooseRetryAction(buildFailedAttempt(situation));
    if (action.type === "fail" || (!repeatable && !claimed)) {
        return { type: "fail", error: buildFailureError(situation) };
    }
    const charged = !moved && failure.sent && streamedTokens === 0;
    if (charged && !budget.tryTake()) {
        return { type: "fail", error: buildFailureError(situation) };
    }
    return { type: "tryElsewhere" };
}

/**
 * Converts a failure to the outcome that the scheduler records.
 *
 * @param failure - The failure.
 * @returns The outcome.
 */
export function convertFailureToOutcome(failure: AttemptFailure): FailedOutcome {
    return failureOutcomes[failure.type];
}

/**
 * Builds the error for a failed try that nothing follows.
 *
 * @param situation - The failure and what the caller has so far.
 * @returns The error; it says "not run" only when no try may have run.
 */
export function buildFailureError(situation: FailureContext): RouterError {
    const { kind, executed } = buildFailure(buildFailedAttempt(situation));
    return new RouterError(kind, undefined, {
        executed: situation.earlierAttemptSent ? "unknown" : executed,
        retryAfterMs: situation.failure.retryAfterMs,
    });
}

function buildFailedAttempt(situation: FailureContext): FailedAttempt {
    const { failure, attempt, repeatable, streamedTokens, resumable } = situation;
    return {
        outcome: convertFailureToOutcome(failure),
        repeatable,
        bytesSent: failure.sent,
        tokensStreamed: streamedTokens,
        resumable,
        attempt,
    };
}
