/**
 * Decides what follows a failed attempt, from the failure and whether the request may be repeated.
 *
 * @packageDocumentation
 */
import type { Executed } from "@pimentocleat/types";
import { ErrorKind } from "@pimentocleat/types";
import type { AttemptOutcome } from "../scheduling/poolScheduler.js";

/** Outcomes of an attempt that require an action. */
export type FailedOutcome = Exclude<AttemptOutcome, "completed" | "cancelled">;

/** A failed attempt. */
export interface FailedAttempt {
    readonly outcome: FailedOutcome;
    /** Whether the request may be sent to a backend server more than once. */
    readonly repeatable: boolean;
    /** Whether any byte of the request may have been sent; true when unknown. */
    readonly bytesSent: boolean;
    /** Tokens or bytes of the answer that were already sent to the caller. */
    readonly tokensStreamed: number;
    /** Whether another server can continue the answer. */
    readonly resumable: boolean;
    /** Number of the attempt, 1 for the first. */
    readonly attempt: number;
    /** Whether the server had announced that it is leaving. */
    readonly serverLeaving?: boolean;
}

/**
 * The action after a failed attempt. A budgeted action needs a unit of the retry budget; without one, the
 * request fails with the result of {@link buildFailure}. Requests displaced by a server that announced its
 * departure are not budgeted: their number doesn't grow with failures, and they wait for free slots like
 * any other request.
 */
export type RetryAction =
    | { readonly type: "retryElsewhere"; readonly isBudgeted: boolean }
    | { readonly type: "resumeElsewhere"; readonly isBudgeted: boolean }
    | { readonly type: "fail"; readonly kind: ErrorKind; readonly executed: Executed };

/** Maximum number of attempts of a request, the first included. */
export const maximumAttempts = 3;

const failureKinds: Readonly<Record<FailedOutcome, ErrorKind>> = {
    failed: ErrorKind.BackendFailed,
    rejected: ErrorKind.BackendRefused,
    timedOut: ErrorKind.BackendTimeout,
    mismatched: ErrorKind.AnswerMismatch,
};

/**
 * Chooses the action after a failed attempt. Doesn't check the retry budget.
 *
 * | bytes sent | repeatable | streamed | resumable | action                            |
 * | ---------- | ---------- | -------- | --------- | --------------------------------- |
 * | no         | any        | none     | any       | retry elsewhere                   |
 * | yes        | no         | any      | any       | fail; "no" only when rejected     |
 * | yes        | yes        | none     | any       | retry elsewhere                   |
 * | yes        | yes        | some     | yes       | resume elsewhere                  |
 * | yes        | yes        | some     | no        | fail as an interrupted stream     |
 *
 * @param failed - The failed attempt.
 * @returns The action.
 */
export function chooseRetryAction(failed: FailedAttempt): RetryAction {
    const failure = buildFailure(failed);
    const isBudgeted = failed.serverLeaving !== true;
    if (failed.attempt >= maximumAttempts || (failed.bytesSent && !failed.repeatable)) {
        return failure;
    }
    if (failed.tokensStreamed === 0) {
        return { type: "retryElsewhere", isBudgeted };
    }
    return failed.repeatable && failed.resumable ? { type: "resumeElsewhere", isBudgeted } : failure;
}

/**
 * Builds the failure of a request whose last attempt failed.
 *
 * @param failed - The failed attempt.
 * @returns The error kind, and whether the request may have run.
 */
export function buildFailure(failed: FailedAttempt): RetryAction & { readonly type: "fail" } {
    if (failed.tokensStreamed > 0) {
        return { type: "fail", kind: ErrorKind.StreamInterrupted, executed: "unknown" };
    }
    const didNotRun = !failed.bytesSent || failed.outcome === "rejected";
    return { type: "fail", kind: failureKinds[failed.outcome], executed: didNotRun ? "no" : "unknown" };
}
