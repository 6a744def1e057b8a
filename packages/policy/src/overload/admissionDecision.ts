/**
 * Decides whether a request starts, waits at its node or is refused.
 *
 * @packageDocumentation
 */
import type { StartEstimate } from "../placement/startEstimate.js";
import type {
    AdmissionDecision,
    AdmissionRequest,
    FinalDecision,
    RefusalReason,
    ServiceLoad,
} from "./admissionRequest.js";
import { computeReturnAfterMs } from "./returnTime.js";

/** What a decision depends on beside the request and its estimate. */
export interface AdmissionContext {
    /** The monotonic time, in milliseconds. */
    readonly nowMs: number;
    /** Time from the first event to the end that answers of this kind seldom exceed, in milliseconds. */
    readonly restMs: number;
    /** Whether its kind, its customer or its size was served less than its floor. */
    readonly isOwed: boolean;
    /** Reads the load; called only when a request is late or would be refused. */
    readonly readLoad: () => ServiceLoad;
}

/** Share of the latency target for which waiting costs a caller nothing. */
const freeWaitShare = 1 / 8;
/**
 * Number of streams that a request may delay to be in time itself: its own gain equals the loss of one stream.
 */
const evenDelayedStreams = 1;
/**
 * The same for a request that is late already: a late answer is worth 0.09 to 0.31 of one in time, so it gains about a
 * quarter of what a delayed stream loses.
 */
const lateGainShare = 0.25;
/** Factor by which the number falls with each step of priority, so that less urgent requests need more free capacity. */
const priorityFactor = 0.5;
/** Priority from which on the number falls no further; customers of many ranks would otherwise wait for an idle server. */
const maximumPriorityStep = 4;
/**
 * Share of the latency target above which a predicted start shows a backlog. Prefill limits engines before half of their
 * places are taken, so the places alone do not show that more urgent streams would be delayed.
 */
const calmStartShare = 0.25;
/** Share of the servers' places below which a service counts as calm; nothing is refused in a calm service. */
const calmTakenShare = 0.5;

/**
 * Decides about a request.
 *
 * @param request - The request.
 * @param estimate - Its predicted start; undefined when it cannot be predicted.
 * @param context - What else the decision depends on.
 * @returns The decision.
 */
export function chooseAdmission(
    request: AdmissionRequest,
    estimate: StartEstimate | undefined,
    context: AdmissionContext,
): AdmissionDecision {
    if (estimate === undefined) {
        return { type: "start", reason: "noEstimate" };
    }
    if (!isUseful(request, estimate, context) && !isCalm(context.readLoad())) {
        return buildRefusal(request, estimate.startMs, estimate.hasRoom ? "streams" : "room", context.nowMs);
    }
    return (
        chooseStart(request, estimate, context) ??
        (request.pauseTargetMs === undefined
            ? chooseForPlainAnswer(request, estimate, context)
            : chooseForStream(request, estimate, context))
    );
}

/** Whether a start at the predicted time still leaves enough time to complete. */
function isUseful(
    { deadlineMs }: AdmissionRequest,
    { startMs }: StartEstimate,
    { nowMs, restMs }: AdmissionContext,
): boolean {
    return nowMs + startMs + restMs < deadlineMs;
}

/**
 * Decides about the last of too many waiting requests. It cannot wait on, and nothing is refused in a calm service.
 *
 * @param request - The request.
 * @param nowMs - The monotonic time, in milliseconds.
 * @param load - Load of its service.
 * @returns The decision.
 */
export function chooseAtLimit(request: AdmissionRequest, nowMs: number, load: ServiceLoad): FinalDecision {
    return isCalm(load)
        ? { type: "start", reason: "queueFull" }
        : buildRefusal(request, request.targetMs, "queueFull", nowMs);
}

/** Starts a request for which there is room and that costs no more than it may. */
function chooseStart(
    request: AdmissionRequest,
    estimate: StartEstimate,
    { nowMs, isOwed }: AdmissionContext,
): AdmissionDecision | undefined {
    if (!estimate.hasRoom) {
        return undefined;
    }
    const isInTime = nowMs <= computeLatestInTimeMs(request, estimate);
    if (estimate.delayedStreams <= computeDelayLimit(request.priority, isInTime)) {
        return { type: "start", reason: "room" };
    }
    if (request.isReturning || request.isResumption) {
        return { type: "start", reason: "tried" };
    }
    return isOwed ? { type: "start", reason: "owed" } : undefined;
}

/**
 * Computes how many streams a request may delay. The most urgent requests never wait for running streams, since none is
 * more urgent.
 */
function computeDelayLimit(priority: number, isInTime: boolean): number {
    if (priority <= 0) {
        return Number.POSITIVE_INFINITY;
    }
    const limit = evenDelayedStreams * priorityFactor ** Math.min(priority, maximumPriorityStep);
    return isInTime ? limit : limit * lateGainShare;
}

function computeLatestInTimeMs(request: AdmissionRequest, estimate: StartEstimate): number {
    return request.arrivedMs + request.targetMs - estimate.startMs;
}

/**
 * A request to a plain service delays no stream, and the reported load of its servers gets old while nothing is sent to
 * them. It waits only as long as that is free, then the server's queue takes it.
 */
function chooseForPlainAnswer(
    request: AdmissionRequest,
    estimate: StartEstimate,
    { nowMs }: AdmissionContext,
): AdmissionDecision {
    const freeUntilMs = request.arrivedMs + request.targetMs * freeWaitShare;
    const untilMs = Math.min(freeUntilMs, computeLatestInTimeMs(request, estimate));
    if (nowMs < untilMs) {
        return { type: "wait", reason: "room", untilMs };
    }
    return { type: "start", reason: "inTime" };
}

/**
 * A stream waits while it would be in time, then while a late answer is still possible. In a calm service it waits
 * only as long as that is free, or while it would be in time if engines have a backlog, unless it would cost more
 * streams than it gains; it starts at last, since it is not refused.
 */
function chooseForStream(
    request: AdmissionRequest,
    estimate: StartEstimate,
    context: AdmissionContext,
): AdmissionDecision {
    const { nowMs, readLoad, restMs } = context;
    const inTimeMs = computeLatestInTimeMs(request, estimate);
    const freeUntilMs = Math.min(inTimeMs, request.arrivedMs + request.targetMs * freeWaitShare);
    const isWorthwhile = estimate.hasRoom && estimate.delayedStreams <= evenDelayedStreams;
    const hasBacklog = estimate.startMs > request.targetMs * calmStartShare;
    const calmUntilMs = hasBacklog ? inTimeMs : freeUntilMs;
    const isStartedInCalm = isWorthwhile && nowMs >= calmUntilMs && isCalm(readLoad());
    if (isStartedInCalm || !isUseful(request, estimate, context)) {
        return { type: "start", reason: "calm" };
    }
    const usefulMs = request.deadlineMs - estimate.startMs - restMs;
    const untilMs = [freeUntilMs, inTimeMs, usefulMs].find((timeMs) => nowMs < timeMs) ?? usefulMs;
    return { type: "wait", reason: estimate.hasRoom ? "streams" : "room", untilMs };
}

function isCalm({ takenShare, waiting }: ServiceLoad): boolean {
    return takenShare < calmTakenShare && waiting === 0;
}

function buildRefusal(
    { requestId, deadlineMs }: AdmissionRequest,
    backlogMs: number,
    reason: RefusalReason,
    nowMs: number,
): FinalDecision {
    const returnMs = computeReturnAfterMs(requestId, backlogMs, deadlineMs - nowMs);
    return { type: "refuse", reason, returnMs };
}
