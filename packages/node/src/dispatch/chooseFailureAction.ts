/**
 * What to do after a failed try.
 *
 * @packageDocumentation
 */
import type { AttemptOutcome } from "@pimentocleat/policy";
import { ErrorKind, RouterError, type Executed } from "@pimentocleat/types";
import type { AttemptFailure, AttemptFailureType } from "../upstream/attemptFailure.js";

/** A failed try and what the caller has so far. */
export interface FailureSituation {
    readonly failure: AttemptFailure;
    /** Whether the request may reach a backend server more than once. */
    readonly repeatable: boolean;
    /** Whether a request that may not be repeated has a claim on its idempotency key. */
    readonly claimed: boolean;
    readonly attempt: number;
    readonly maximumAttempts: number;
    readonly streamStarted: boolean;
    readonly resumable: boolean;
}

/** What to do. */
export type FailureAction =
    | { readonly type: "retry" }
    | { readonly type: "resume" }
    | { readonly type: "fail"; readonly error: RouterError };

const failureKinds: Readonly<Record<AttemptFailureType, ErrorKind>> = {
    connectFailed: ErrorKind.BackendFailed,
    connectionLost: ErrorKind.BackendFailed,
    timedOut: ErrorKind.BackendTimeout,
    mismatched: ErrorKind.AnswerMismatch,
    invalidAnswer: ErrorKind.BackendFailed,
    rejected: ErrorKind.BackendRefused,
    failedStatus: ErrorKind.BackendFailed,
    cancelled: ErrorKind.StreamInterrupted,
};

const failureOutcomes: Readonly<Record<AttemptFailureType, AttemptOutcome>> = {
    connectFailed: "failed",
    connectionLost: "failed",
    timedOut: "timedOut",
    mismatched: "mismatched",
    invalidAnswer: "failed",
    rejected: "rejected",
    failedStatus: "failed",
    cancelled: "cancelled",
};

/**
 * Chooses what to do after a failed try.
 *
 * @param situation - The failure and what the caller has so far.
 * @returns Another try, a continuation of the stream, or the error for the caller.
 */
export function chooseFailureAction(situation: FailureSituation): FailureAction {
    const { attempt, maximumAttempts, streamStarted, resumable } = situation;
    if (attempt >= maximumAttempts || !mayRunAgain(situation)) {
        return { type: "fail", error: buildFailureError(situation) };
    }
    if (!streamStarted) {
        return { type: "retry" };
    }
    return resumable ? { type: "resume" } : { type: "fail", error: buildFailureError(situation) };
}

/**
 * Converts a failure to the outcome that the scheduler records.
 *
 * @param failure - The failure.
 * @returns The outcome.
 */
export function convertFailureToOutcome(failure: AttemptFailure): AttemptOutcome {
    return failureOutcomes[failure.type];
}

/**
 * Whether it is known that a failed try did not run.
 *
 * @param failure - The failure.
 * @returns `no` only when no byte was sent or the backend server said so.
 */
export function findExecuted(failure: AttemptFailure): Executed {
    return !failure.sent || failure.type === "rejected" ? "no" : "unknown";
}

function mayRunAgain(situation: FailureSituation): boolean {
    const { failure, repeatable, claimed } = situation;
    return repeatable || (claimed && findExecuted(failure) === "no");
}

function buildFailureError(situation: FailureSituation): RouterError {
    const { failure, streamStarted } = situation;
    const kind = streamStarted ? ErrorKind.StreamInterrupted : failureKinds[failure.type];
    // A repeatable request may have run in an earlier try; "no" then would not be true.
    const executed = situation.attempt === 1 || !situation.repeatable ? findExecuted(failure) : "unknown";
    return new RouterError(kind, undefined, { executed, retryAfterMs: failure.retryAfterMs });
}
