/**
 * The state of one running request over its tries.
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

/** A request that runs. */
export interface RunContext {
    readonly request: RoutedRequest;
    readonly active: ActiveRequest;
    readonly trace: TraceRecorder;
    /** Undefined when the caller wants a whole answer. */
    readonly caller: CallerStream | undefined;
    /**
     * Monotonic time after which a claimed request is no longer sent, in milliseconds; undefined
     * without a claim.
     */
    readonly sendDeadlineMs: number | undefined;
}

/** A try that failed. */
export type FailedResult = Extract<AttemptResult, { type: "failed" }>;

/** The state of a request that runs. */
export interface RunState {
    readonly context: RunContext;
    readonly task: PoolTask;
    readonly relay: StreamRelay | undefined;
    readonly meter: UsageMeter;
    readonly excludedServers: string[];
    /** Tries that count towards the limit; moves do not. */
    attempt: number;
    /** Tries of any kind, which make the identifiers on the wire unique. */
    dispatchNumber: number;
    /** Whether a try may have reached a backend server. */
    sent: boolean;
    /** Server on which the scheduler holds a slot since it decided to move the request. */
    moveTarget: string | undefined;
    /** What the caller gets when no server can take over. */
    lastError: RouterError | undefined;
}

/**
 * Describes the request for the scheduler.
 *
 * @param state - The running request.
 * @returns What the scheduler needs for the next try.
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
 * Describes a failed try.
 *
 * @param state - The running request, before the failure is noted.
 * @param result - The failed try.
 * @returns What the choice of the next step needs.
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
 * Finds the error for a refused request. After a failed try, the caller hears of that failure rather
 * than of the lack of another server.
 *
 * @param state - The running request.
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
 * Records the outcome and frees the slot. A request that finished where it was, although the scheduler
 * had decided to move it, holds a second slot.
 *
 * @param state - The running request.
 * @param grant - The grant of the try that ended.
 * @param outcome - How it ended.
 * @param moved - Whether the request goes on on the server that it was moved to.
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
 * Takes the grant of a moved request, which has its slot already.
 *
 * @param state - The running request.
 * @param grant - The grant that it had.
 * @returns The grant on the new server, or undefined when the request needs another one.
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
 * Checks that a request which waited for its slot may still be sent. While the node was out of touch, the
 * request's key may have been withdrawn; while it was frozen, its claim may have been judged dead.
 *
 * @param state - The running request.
 * @param isOpen - Whether the node may serve requests.
 * @param nowMs - Monotonic time, in milliseconds.
 * @throws RouterError when the request must not be sent.
 */
export function checkSendAllowed(state: RunState, isOpen: boolean, nowMs: number): void {
    if (!isOpen) {
        throw state.lastError ?? new RouterError(ErrorKind.NotReady, undefined, { executed: "no" });
    }
    const { sendDeadlineMs: sendByMs } = state.context;
    if (sendByMs !== undefined && nowMs > sendByMs) {
        throw new RouterError(ErrorKind.QueueDeadline, undefined, { executed: "no" });
    }
}
