/**
 * The state of a running request, and the error that its caller receives when it fails.
 *
 * @packageDocumentation
 */
import { isRequestCause, RelaySearch, type StreamOrigin } from "@pimentocleat/policy";
import { ErrorKind, RouterError } from "@pimentocleat/types";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { CallerAnswer } from "../callers/callerAnswer.js";
import type { ServerPath } from "../relaying/serverPaths.js";
import type { Attempt } from "./attempt.js";
import type { AttemptResult, CompleteBackendAnswer } from "./attemptResult.js";
import type { GatewayRequest } from "./gatewayRequest.js";
import type { ServiceDispatch } from "./serviceDispatch.js";
import { StreamContinuity } from "./streamContinuity.js";

/** Minimum remaining time in which another attempt can still succeed, in milliseconds. */
export const minimumRemainingMs = 40;
/** Retry delay suggested to callers when no server is available, in milliseconds. */
const noServerRetryAfterMs = 500;
/** Retry delay suggested to callers that a stopping node refuses, in milliseconds; the retry reaches another node. */
const drainingRetryAfterMs = 50;
/** Retry delay suggested to callers whose stream is not known on any node that was asked, in milliseconds. */
const unknownOriginRetryAfterMs = 250;

/** An attempt that was sent. */
export interface RunningAttempt {
    readonly server: RegisteredServer;
    readonly path: ServerPath;
    readonly attempt: Attempt;
    /** Settles when the attempt has ended. */
    readonly result: Promise<AttemptResult>;
    /** Whether it is included in the request's number of attempts. */
    isCounted: boolean;
}

/** An attempt at another server while the first one is silent. */
export interface Takeover {
    /** The attempt that is silent. */
    readonly silent: RunningAttempt;
    /** Settles when the other attempt was sent; to undefined when it was not. */
    started: Promise<RunningAttempt | undefined>;
    /** The other attempt; undefined until it is sent. */
    running: RunningAttempt | undefined;
    /** Whether the silent server has responded, or the request has ended. */
    isWithdrawn: boolean;
}

/** Mutable state of a running request. */
export interface RunState {
    readonly request: GatewayRequest;
    readonly answer: CallerAnswer;
    readonly dispatch: ServiceDispatch;
    /** Identifiers of servers that further attempts skip. */
    readonly excluded: Set<string>;
    /** Number of attempts that reached a server, or may have reached one, and have ended or been joined by another. */
    attemptCount: number;
    /** Number of attempts that failed before any byte was sent. */
    connectFailures: number;
    /** The other nodes that were asked to relay the request and did not. */
    readonly relaySearch: RelaySearch;
    /** Whether a server may have run the request. */
    mayHaveRun: boolean;
    isUsageCounted: boolean;
    /** The events that were forwarded, and that a resumed stream must follow. */
    readonly continuity: StreamContinuity;
    /** Where the stream began; undefined before its first event. */
    streamOrigin: StreamOrigin | undefined;
    /** Tells whether the registration of a server names the software version that answers there. */
    readonly isVersionKnown: (server: RegisteredServer) => boolean;
    /** The cause of crashes because of which the request is not sent; undefined when there is none. */
    harmfulCause: string | undefined;
    /** An error response of a server; sent to the caller when no other attempt succeeds. */
    failedAnswer: CompleteBackendAnswer | undefined;
    /** The attempt whose end decides how the request goes on. */
    current: RunningAttempt | undefined;
    /** Undefined while the server of the current attempt responds, or no other one was found. */
    takeover: Takeover | undefined;
    /** Ends a wait for the start of the next attempt; undefined while it does not wait. */
    cancelWait: (() => void) | undefined;
    /** Whether the next attempt may start; a refusal by a server ends it, a failed connection does not. */
    isAdmitted: boolean;
    /** Time after which the caller should come back, in milliseconds; undefined unless admission control refused it. */
    returnMs: number | undefined;
    /** Monotonic time of the first data of the response, in milliseconds; undefined before. */
    firstDataMs: number | undefined;
    isCancelled: boolean;
    lastFailureReason: string;
}

/**
 * Builds the state of a request that starts to run.
 *
 * @param start - The request, and what is known of it before the first attempt.
 * @returns The state.
 */
export function buildRunState(
    start: Pick<RunState, "request" | "answer" | "dispatch" | "streamOrigin" | "isVersionKnown">,
): RunState {
    return {
        ...start,
        excluded: new Set(),
        attemptCount: 0,
        connectFailures: 0,
        relaySearch: new RelaySearch(),
        mayHaveRun: false,
        isUsageCounted: false,
        continuity: new StreamContinuity(start.request.head.lastEventId),
        harmfulCause: undefined,
        failedAnswer: undefined,
        current: undefined,
        takeover: undefined,
        cancelWait: undefined,
        isAdmitted: false,
        returnMs: undefined,
        firstDataMs: undefined,
        isCancelled: false,
        lastFailureReason: "",
    };
}

/**
 * Includes an attempt in the number of attempts, unless it is already.
 *
 * @param state - State of the request.
 * @param running - The attempt.
 */
export function recordAttempt(state: RunState, running: RunningAttempt): void {
    if (!running.isCounted) {
        running.isCounted = true;
        state.attemptCount += 1;
    }
}

/**
 * Selects the metric tag of a result; the number of different tags is bounded.
 *
 * @param result - Result of the request, as logged.
 * @returns The status code, or `none`.
 */
export function selectStatusTag(result: string): string {
    const status = /^status (\d+)$/.exec(result)?.[1];
    return status ?? (result === "streamed" ? "200" : "none");
}

/**
 * Selects the metric tag of a retry reason; the number of different tags is bounded.
 *
 * @param reason - The reason, as logged.
 * @returns The tag; `lost` for reasons without a tag of their own.
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
 * Builds the error for a request that a stopping node does not run.
 *
 * @returns The error.
 */
export function buildDrainingError(): RouterError {
    return new RouterError(ErrorKind.Draining, undefined, {
        executed: "no",
        retryAfterMs: drainingRetryAfterMs,
    });
}

/**
 * Builds the error for a resumption of a stream of which no node knows the software version.
 *
 * @returns The error; another node may know more a moment later.
 */
export function buildUnknownOriginError(): RouterError {
    const message = "it is not known which software version began the stream";
    return new RouterError(ErrorKind.StreamNotResumable, message, {
        executed: "no",
        retryAfterMs: unknownOriginRetryAfterMs,
    });
}

/**
 * Builds the error for a resumption of a stream that no server can continue where it began.
 *
 * @returns The error.
 */
export function buildUnavailableOriginError(): RouterError {
    return new RouterError(ErrorKind.StreamNotResumable, undefined, { executed: "no" });
}

/**
 * Builds the error for a request to which no server responded.
 *
 * @param state - State of the request.
 * @param noServer - Whether no eligible server was available.
 * @param remainingMs - Time until the caller's deadline, in milliseconds.
 * @param returnMs - Time after which the caller should come back, in milliseconds; undefined when a server takes requests now.
 * @returns The error; it states that the request did not run only when no server can have run it.
 */
export function buildUnservedError(
    state: RunState,
    noServer: boolean,
    remainingMs: number,
    returnMs: number | undefined,
): RouterError {
    if (state.harmfulCause !== undefined && !state.mayHaveRun) {
        return buildQuarantineError(state.harmfulCause);
    }
    if (noServer && state.streamOrigin !== undefined && !state.mayHaveRun && returnMs === undefined) {
        return buildUnavailableOriginError();
    }
    const executed = state.mayHaveRun ? "unknown" : "no";
    const reason = state.lastFailureReason === "" ? undefined : `last try: ${state.lastFailureReason}`;
    if (state.mayHaveRun) {
        const kind = remainingMs < minimumRemainingMs ? ErrorKind.BackendTimeout : ErrorKind.BackendFailed;
        return new RouterError(kind, reason, { executed });
    }
    const kind = noServer ? ErrorKind.NoBackendServer : ErrorKind.Overloaded;
    return new RouterError(kind, reason, { executed, retryAfterMs: returnMs ?? noServerRetryAfterMs });
}

function buildQuarantineError(cause: string): RouterError {
    if (isRequestCause(cause)) {
        const text = `servers crash on the request, cause ${cause}`;
        return new RouterError(ErrorKind.RequestQuarantined, text, { executed: "no" });
    }
    const message = `the prompt holds part ${cause}, on which servers crash`;
    return new RouterError(ErrorKind.PromptQuarantined, message, { executed: "no" });
}
