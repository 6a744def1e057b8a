/**
 * The state of a running request across its attempts.
 *
 * @packageDocumentation
 */
import type { AttemptOutcome, QueuedRequest } from "@pimentocleat/policy";
import { ErrorKind, RouterError } from "@pimentocleat/types";
import type { TraceRecorder } from "../explain/traceBuffer.js";
import type { CallerStream } from "../streams/callerStream.js";
import type { StreamRelay } from "../streams/streamRelay.js";
import type { UsageMeter } from "../usage/usageMeter.js";
import { buildCancelError, type ActiveRequest } from "./activeRequest.js";
import type { AttemptResult } from "./attempt.js";
import type { FailureContext } from "./chooseFailureAction.js";
import type { PoolTask } from "./poolTask.js";
import type { StartGrant } from "./poolTaskOptions.js";
import type { RoutedRequest } from "./routedRequest.js";

/** A request to run, with its caller and its trace. */
export interface RunContext {
    readonly request: RoutedRequest;
    readonly active: ActiveRequest;
    readonly trace: TraceRecorder;
    /** Undefined when the caller did not request a stream. */
    readonly caller: CallerStream | undefined;
    /**
     * Monotonic time after which a claimed request must no longer be sent, in milliseconds; undefined
     * without a claim.
     */
    readonly sendDeadlineMs: number | undefined;
}

/** The result of a failed attempt. */
export type FailedResult = Extract<AttemptResult, { type: "failed" }>;

/** The mutable state of a running request. */
export interface RunState {
    readonly context: RunContext;
    readonly task: PoolTask;
    readonly relay: StreamRelay | undefined;
    readonly meter: UsageMeter;
    readonly excludedServers: string[];
    /** Number of the current attempt, starting at 1; limits the retries, so moves are not counted. */
    attempt: number;
    /** Number of the current dispatch, moves included; makes the identifiers sent to servers unique. */
    dispatchNumber: number;
    /** Whether any attempt may have reached a backend server; one that the server rejected does not count. */
    sent: boolean;
    /** Server on which the scheduler reserved a slot when it decided to move the request. */
    moveTarget: string | undefined;
    /** Error of the last failed attempt; the caller gets it when no other server can run the request. */
    lastError: RouterError | undefined;
}

/**
 * Builds the scheduler's view of a request.
 *
 * @param state - State of the running request.
 * @returns The request to queue for the next attempt.
 */
export function buildQueuedRequest(state: RunState): QueuedRequest {
    const { request } = state.context;
    const { modelCall } = request;
    return {
        requestId: request.requestId,
        customer: request.customer,
        requestClass: request.requestClass,
        arrivedMs: request.arrivedMs,
        promptTokens: modelCall?.promptTokens ?? 0,
        maximumTokens: modelCall?.maximumTokens,
        prefixBlocks: modelCall?.prefixBlocks ?? [],
        repeatable: request.repeatable,
        excludedServers: [...state.excludedServers],
        attempt: state.attempt,
        resumedTokens: state.relay?.streamedTokens ?? 0,
    };
}

/**
 * Builds the context for choosing the action after a failed attempt.
 *
 * @param state - State of the running request, before it is updated with the failure.
 * @param result - Result of the failed attempt.
 * @returns The failure and the state of its request.
 */
export function buildFailureContext(state: RunState, result: FailedResult): FailureContext {
    const { context, relay } = state;
    return {
        failure: result.failure,
        attempt: state.attempt,
        earlierAttemptSent: state.sent,
        repeatable: context.request.repeatable,
        claimed: context.sendDeadlineMs !== undefined,
        streamedTokens: relay?.streamedTokens ?? 0,
        resumable: context.request.modelCall?.resumable ?? false,
        moved: result.moved,
    };
}

/**
 * Selects the error for a refused request. After a failed attempt, the caller gets the error of that
 * attempt rather than one about the lack of another server.
 *
 * @param state - State of the running request.
 * @param error - The refusal.
 * @returns The error for the caller.
 */
export function selectRefusalError(state: RunState, error: unknown): unknown {
    const { active } = state.context;
    if (active.cancelReason !== undefined) {
        return buildCancelError(active.cancelReason, state.sent);
    }
    return state.lastError ?? error;
}

/**
 * Records the outcome of an attempt and releases its slot. When the request finished on its server although
 * the scheduler had decided to move it, the slot reserved on the other server is released as well.
 *
 * @param state - State of the running request.
 * @param grant - Grant of the attempt that ended.
 * @param outcome - Outcome of the attempt.
 * @param moved - Whether the request continues on the server that it was moved to.
 */
export function recordOutcome(
    state: RunState,
    grant: StartGrant,
    outcome: AttemptOutcome,
    moved = false,
): void {
    const { task, context, moveTarget } = state;
    task.recordOutcome(context.request.requestId, grant.server.name, outcome);
    if (moveTarget !== undefined && !moved) {
        state.moveTarget = undefined;
        task.recordOutcome(context.request.requestId, moveTarget, outcome);
    }
}

/**
 * Takes the grant for the server that a request was moved to, where its slot is already reserved.
 *
 * @param state - State of the running request.
 * @param grant - Grant of the previous attempt, whose priority is kept.
 * @returns The grant on the new server, or undefined when the request must be queued for another one.
 */
export function takeMoveTargetGrant(state: RunState, grant: StartGrant): StartGrant | undefined {
    const { moveTarget, task, context } = state;
    if (moveTarget === undefined) {
        return undefined;
    }
    state.moveTarget = undefined;
    const server = task.findServer(moveTarget);
    if (server === undefined) {
        task.recordOutcome(context.request.requestId, moveTarget, "cancelled");
        return undefined;
    }
    return { server, priority: grant.priority };
}

/**
 * Checks that a request that waited for its slot may still be sent. While the node was isolated, the
 * request's key may have been withdrawn; while its process was suspended, other nodes may have come to
 * treat the request's claim as having an unknown outcome.
 *
 * @param state - State of the running request.
 * @param isServingAllowed - Whether the node may serve requests.
 * @param nowMs - Monotonic time, in milliseconds.
 * @throws RouterError when the request must not be sent.
 */
export function checkSendAllowed(state: RunState, isServingAllowed: boolean, nowMs: number): void {
    if (!isServingAllowed) {
        throw state.lastError ?? new RouterError(ErrorKind.NotReady, undefined, { executed: "no" });
    }
    const { sendDeadlineMs } = state.context;
    if (sendDeadlineMs !== undefined && nowMs > sendDeadlineMs) {
        throw new RouterError(ErrorKind.QueueDeadline, undefined, { executed: "no" });
    }
}
