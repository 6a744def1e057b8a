/**
 * What follows a failed try: the table from failure and repeatability to action.
 *
 * @packageDocumentation
 */
import type { Executed } from "@pimentocleat/types";
import { ErrorKind } from "@pimentocleat/types";
import type { AttemptOutcome } from "../scheduling/poolScheduler.js";

/** Outcomes after which something must be done. */
export type FailedOutcome = Exclude<AttemptOutcome, "completed" | "cancelled">;

/** A failed try. */
export interface FailedAttempt {
    readonly outcome: FailedOutcome;
    /** Whether the request may be sent to a backend server more than once. */
    readonly repeatable: boolean;
    /** Whether a byte of the request may have left; true when in doubt. */
    readonly bytesSent: boolean;
    /** Tokens or bytes of the answer that already went to the caller. */
    readonly tokensStreamed: number;
    /** Whether another server can continue the answer. */
    readonly resumable: boolean;
    /** 1 for the first try. */
    readonly attempt: number;
    /** Whether the server had announced that it goes. */
    readonly serverLeaving?: boolean;
}

/**
 * What to do after a failed try. A budgeted action needs a unit of the retry budget, and without one
 * the request fails as {@link buildFailure} says. Work displaced by an announced departure is not
 * budgeted: it doesn't grow with failures, and waits for free slots like any other work.
 */
export type RetryAction =
    | { readonly type: "retryElsewhere"; readonly isBudgeted: boolean }
    | { readonly type: "resumeElsewhere"; readonly isBudgeted: boolean }
    | { readonly type: "fail"; readonly kind: ErrorKind; readonly executed: Executed };

/** Tries of a request, the first included. */
export const maximumAttempts = 3;

const failureKinds: Readonly<Record<FailedOutcome, ErrorKind>> = {
    failed: ErrorKind.BackendFailed,
    rejected: ErrorKind.BackendRefused,
    timedOut: ErrorKind.BackendTimeout,
    mismatched: ErrorKind.AnswerMismatch,
};

/**
 * Chooses what follows a failed try, before the budget is asked.
 *
 * | bytes sent | repeatable | streamed | resumable | action                            |
 * | ---------- | ---------- | -------- | --------- | --------------------------------- |
 * | no         | any        | none     | any       | retry elsewhere                   |
 * | yes        | no         | any      | any       | fail; "no" only when rejected     |
 * | yes        | yes        | none     | any       | retry elsewhere                   |
 * | yes        | yes        | some     | yes       | resume elsewhere                  |
 * | yes        | yes        | some     | no        | fail as an interrupted stream     |
 *
 * @param failed - The failed try.
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
 * Describes a failed try that nothing follows.
 *
 * @param failed - The failed try.
 * @returns The error kind, and whether the request may have run.
 */
export function buildFailure(failed: FailedAttempt): RetryAction & { readonly type: "fail" } {
    if (failed.tokensStreamed > 0) {
        return { type: "fail", kind: ErrorKind.StreamInterrupted, executed: "unknown" };
    }
    const didNotRun = !failed.bytesSent || failed.outcome === "rejected";
    return { type: "fail", kind: failureKinds[failed.outcome], executed: didNotRun ? "no" : "unknown" };
}
