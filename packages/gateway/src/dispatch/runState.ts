/**
 * The state of a request while it runs, and what its caller gets when it fails.
 *
 * @packageDocumentation
 */
import { ErrorKind, RouterError } from "@pimentocleat/types";
import type { CallerAnswer } from "../callers/callerAnswer.js";
import type { Attempt, CompleteBackendAnswer } from "./attempt.js";
import type { GatewayRequest } from "./gatewayRequest.js";
import type { ServiceDispatch } from "./serviceDispatch.js";

/** Shortest time left in which another send can still succeed, in milliseconds. */
export const minimumRemainingMs = 40;
/** When a caller should come back after a refusal for want of a server, in milliseconds. */
const noServerRetryAfterMs = 500;

/** A request that runs. */
export interface RunState {
    readonly request: GatewayRequest;
    readonly answer: CallerAnswer;
    readonly dispatch: ServiceDispatch;
    readonly excluded: Set<string>;
    /** Sends that reached a server, or may have. */
    attemptCount: number;
    connectFailures: number;
    /** Whether a server may have run the request. */
    mayHaveRun: boolean;
    isUsageCounted: boolean;
    isStreamStarted: boolean;
    lastEventId: string | undefined;
    /** A failure that a server answered, for the caller if no other send does better. */
    failedAnswer: CompleteBackendAnswer | undefined;
    currentAttempt: Attempt | undefined;
    isCancelled: boolean;
    lastFailureReason: string;
}

/**
 * Selects the tag of a result; results have a bounded number of kinds.
 *
 * @param result - How the request ended.
 * @returns The status, or `none`.
 */
export function selectStatusTag(result: string): string {
    const status = /^status (\d+)$/.exec(result)?.[1];
    return status ?? (result === "streamed" ? "200" : "none");
}

/**
 * Selects the tag of a reason to send again.
 *
 * @param reason - The reason, as logged.
 * @returns One of a few kinds.
 */
export function selectRetryReasonTag(reason: string): string {
    const kinds: readonly (readonly [RegExp, string])[] = [
        [/not run/, "not_run"],
        [/another server/, "other_server"],
        [/silent/, "silent"],
        [/^status 5/, "failed"],
    ];
    return kinds.find(([pattern]) => pattern.test(reason))?.[1] ?? "lost";
}

/**
 * Tells whether a request may run again after it may have run.
 *
 * @param request - The request.
 * @returns Whether it may.
 */
export function isRepeatable(request: GatewayRequest): boolean {
    return request.route.kind === "repeatable" || request.route.isResumable;
}

/**
 * Builds the refusal of a request that got no answer.
 *
 * @param state - The run.
 * @param noServer - Whether no server could be chosen.
 * @param remainingMs - Time that the caller still waits, in milliseconds.
 * @returns The error; it promises that nothing ran only while nothing can have run.
 */
export function buildUnservedError(state: RunState, noServer: boolean, remainingMs: number): RouterError {
    const executed = state.mayHaveRun ? "unknown" : "no";
    const reason = state.lastFailureReason === "" ? undefined : `last try: ${state.lastFailureReason}`;
    if (state.mayHaveRun) {
        const kind = remainingMs < minimumRemainingMs ? ErrorKind.BackendTimeout : ErrorKind.BackendFailed;
        return new RouterError(kind, reason, { executed });
    }
    const kind = noServer ? ErrorKind.NoBackendServer : ErrorKind.Overloaded;
    return new RouterError(kind, reason, { executed, retryAfterMs: noServerRetryAfterMs });
}
