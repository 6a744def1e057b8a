/**
 * The scheduler of a pool: strict priority between tiers, fair shares for classes and customers, and early refusal of
 * requests that can't meet their targets.
 *
 * @packageDocumentation
 */
import { ErrorKind } from "@pimentocleat/types";
import type { AdmissionAdvice } from "../admission/admissionController.js";
import type { ClassQueue } from "./classQueue.js";
import { PoolState } from "./poolState.js";
import type {
    AttemptOutcome,
    CacheEvent,
    CancelReason,
    Decision,
    LeavingNotice,
    LoadReport,
    OfferResult,
    PoolConfiguration,
    PoolScheduler,
    PoolStatus,
    PoolSummary,
    QueuedRequest,
} from "./poolScheduler.js";
import type { ChosenEntry } from "./queueOrder.js";
import { QueueReview } from "./queueReview.js";
import type { RunningRequest } from "./runningRequests.js";
import type { SchedulerOptions } from "./schedulerOptions.js";
import { StatusReader } from "./statusReader.js";
import type { WaitingRequest } from "./waitingRequests.js";

const noServerRetryAfterMs = 1_000;
/** Waiting requests that one round may skip because no free server can take them. */
const maximumSkippedRequests = 16;
/** Requests not expected to end this long before their server leaves are moved by then, so the move can finish. */
const moveMarginMs = 500;
/**
 * Maximum interval between decisions while requests wait: other nodes or an owed floor can make one due without an
 * event.
 */
const maximumWakeIntervalMs = 100;

/** Schedules one pool on one node; see docs/design/07-order.md. */
export class TieredScheduler implements PoolScheduler {
    protected readonly state: PoolState;
    private readonly status: StatusReader;
    private readonly review: QueueReview;
    private decisions: Decision[] = [];

    /** @param options - The configuration, clock, node name and optional replacements of the default policies. */
    constructor(private readonly options: SchedulerOptions) {
        this.state = new PoolState(options);
        this.status = new StatusReader(options.node, this.state);
        this.review = new QueueReview(this.state, (...refusal) => this.refuseWaiting(...refusal));
    }

    updateConfiguration(configuration: PoolConfiguration): void {
        for (const waiting of this.state.updateConfiguration(configuration)) {
            this.refuseWaiting(waiting, ErrorKind.UnknownClass, 0);
        }
    }

    offerRequest(request: QueuedRequest): OfferResult {
        const nowMs = this.readNowMs();
        const classQueue = this.state.classes.find(request.requestClass);
        if (classQueue === undefined) {
            return { type: "refused", kind: ErrorKind.UnknownClass, retryAfterMs: 0 };
        }
        if (!this.state.router.hasUsableServer(request)) {
            return { type: "refused", kind: ErrorKind.NoBackendServer, retryAfterMs: noServerRetryAfterMs };
        }
        const isRequeued = request.attempt > 1 || request.resumedTokens > 0;
        if (!isRequeued) {
            classQueue.offered.record(1, nowMs);
            const advice = this.adviseAdmission(classQueue, request, nowMs);
            if (!advice.admitted) {
                return { type: "refused", kind: ErrorKind.Overloaded, retryAfterMs: advice.retryAfterMs };
            }
            classQueue.admitted.record(1, nowMs);
        }
        this.state.addWaiting(
            request,
            classQueue,
            computeLatestStartMs(request, classQueue, nowMs),
            isRequeued,
        );
        return { type: "queued" };
    }

    cancelRequest(requestId: string, reason: CancelReason): void {
        this.state.waiting.removeById(requestId);
        const running = this.state.running.find(requestId);
        if (running !== undefined) {
            this.decisions.push({ type: "cancel", requestId, server: running.server, reason });
        }
    }

    recordFirstToken(requestId: string): void {
        const running = this.state.running.find(requestId);
        if (running === undefined || running.firstTokenMs !== undefined) {
            return;
        }
        const nowMs = this.readNowMs();
        running.firstTokenMs = nowMs;
        running.lastTokenMs = nowMs;
        const firstTokenMs = nowMs - running.startedMs;
        running.classQueue.firstTokenMs.record(firstTokenMs);
        this.state.router.recordFirstToken(running.server, running.request, firstTokenMs);
    }

    recordTokens(requestId: string, tokens: number): void {
        const running = this.state.running.find(requestId);
        if (running === undefined || tokens <= 0) {
            return;
        }
        const nowMs = this.readNowMs();
        if (running.firstTokenMs !== undefined && nowMs > running.lastTokenMs) {
            const paceMs = (nowMs - running.lastTokenMs) / tokens;
            this.state.router.findServer(running.server)?.health.recordPace(paceMs);
        }
        running.lastTokenMs = nowMs;
        this.state.running.recordTokens(running, tokens);
    }

    recordOutcome(requestId: string, server: string, outcome: AttemptOutcome): void {
        const running = this.state.running.find(requestId);
        if (running === undefined) {
            return;
        }
        const nowMs = this.readNowMs();
        if (running.previousServer === server) {
            running.previousServer = undefined;
            this.state.releaseSlot(requestId, server);
            return;
        }
        if (running.server !== server) {
            return;
        }
        this.state.finishRunning(running, outcome, nowMs);
    }

    recordLoadReport(report: LoadReport): void {
        this.state.recordLoadReport(report);
    }

    recordCacheEvent(event: CacheEvent): void {
        this.state.router.prefixIndex.recordEvent(event);
    }

    recordLeaving(notice: LeavingNotice): void {
        const server = this.state.router.findServer(notice.server);
        if (server === undefined) {
            return;
        }
        server.health.recordLeaving(notice.leavesAtMs);
        this.state.updateSlots();
        for (const running of this.state.running.listByServer(notice.server)) {
            this.addMove(running, notice.leavesAtMs);
        }
    }

    recordPeerSummary(summary: PoolSummary): void {
        this.state.recordPeerSummary(summary);
    }

    removePeer(node: string): void {
        this.state.removePeer(node);
    }

    takeDecisions(): readonly Decision[] {
        const nowMs = this.readNowMs();
        this.state.updateDemand();
        this.state.router.updateStragglers(nowMs);
        this.review.refuseExpired(nowMs);
        this.review.refusePredictedLate(nowMs);
        this.startWaiting(nowMs);
        const decisions = this.decisions;
        this.decisions = [];
        return decisions;
    }

    readNextWakeMs(): number | undefined {
        const nowMs = this.readNowMs();
        const earliestMs = this.state.classes.readNextDeadlineMs();
        return earliestMs === undefined ? undefined : Math.min(earliestMs, nowMs + maximumWakeIntervalMs);
    }

    summarizePool(): PoolSummary {
        return this.status.summarizePool(this.readNowMs());
    }

    isSummaryDue(): boolean {
        return this.state.slots.isSummaryDue();
    }

    readStatus(): PoolStatus {
        return this.status.readStatus(this.readNowMs());
    }

    private readNowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private adviseAdmission(classQueue: ClassQueue, request: QueuedRequest, nowMs: number): AdmissionAdvice {
        const capacity = this.state.slots.readCapacity();
        const isFree = this.state.hasFreeSlot(classQueue.settings.tier);
        if (isFree && !this.state.classes.hasWaitingAtOrAbove(classQueue.settings.tier)) {
            return { admitted: true, waitMs: 0, retryAfterMs: 0 };
        }
        return this.state.admission.advise(classQueue, request.customer, capacity, nowMs);
    }

    private addMove(running: RunningRequest, leavesAtMs: number): void {
        const { request, classQueue, startedMs } = running;
        const willFinish = startedMs + classQueue.holdingMs.readUpperBound() < leavesAtMs - moveMarginMs;
        if (!willFinish && request.repeatable && !this.state.waiting.has(request.requestId)) {
            this.state.addWaiting(request, classQueue, leavesAtMs - moveMarginMs, true);
        }
    }

    private startWaiting(nowMs: number): void {
        const skipped: WaitingRequest[] = [];
        const hasFreeSlot = (tier: number): boolean => this.state.hasFreeSlot(tier);
        while (skipped.length < maximumSkippedRequests) {
            const chosen = this.state.order.next(hasFreeSlot);
            if (chosen === undefined) {
                break;
            }
            if (!this.startChosen(chosen, nowMs)) {
                this.handleSkipped(chosen, skipped);
            } else if (chosen.byFloor) {
                // This slot was withheld from other nodes for the floor; the next free ones may be lent again.
                this.state.updateDemand();
            }
        }
        for (const { request, classQueue, entry } of skipped) {
            this.state.addWaiting(request, classQueue, entry.latestStartMs, true);
        }
    }

    private handleSkipped(chosen: ChosenEntry, skipped: WaitingRequest[]): void {
        const waiting = this.state.waiting.find(chosen.entry.request.requestId);
        if (waiting === undefined) {
            throw new Error(
                `request ${chosen.entry.request.requestId} is in a class queue but not in the waiting index`,
            );
        }
        if (this.state.router.hasUsableServer(waiting.request)) {
            this.state.waiting.remove(waiting);
            skipped.push(waiting);
        } else {
            this.refuseWaiting(waiting, ErrorKind.NoBackendServer, noServerRetryAfterMs);
        }
    }

    private startChosen(chosen: ChosenEntry, nowMs: number): boolean {
        const { request, latestStartMs } = chosen.entry;
        const server = this.state.router.chooseServer(request, {
            nowMs,
            slackMs: latestStartMs - nowMs,
            targetMs: chosen.classQueue.settings.firstTokenMs,
            tier: chosen.classQueue.settings.tier,
            countFree: (name, tier) => this.state.slots.countFree(name, tier),
        });
        if (server === undefined) {
            return false;
        }
        const name = server.settings.name;
        this.state.waiting.removeById(request.requestId);
        this.state.order.recordStart(chosen);
        const running = this.state.running.find(request.requestId);
        if (running === undefined) {
            this.state.startRunning(request, chosen.classQueue, name, nowMs);
            const priority = chosen.classQueue.settings.tier;
            this.decisions.push({
                type: "start",
                requestId: request.requestId,
                server: name,
                priority,
                byFloor: chosen.byFloor,
            });
        } else {
            this.state.moveRunning(running, name);
            this.decisions.push({ type: "move", requestId: request.requestId, server: name });
        }
        return true;
    }

    private refuseWaiting(waiting: WaitingRequest, kind: ErrorKind, retryAfterMs: number): void {
        this.state.waiting.remove(waiting);
        const { requestId } = waiting.request;
        // A request that is running was waiting to be moved; it stays on its current server.
        if (this.state.running.find(requestId) === undefined) {
            this.decisions.push({ type: "refuse", requestId, kind, retryAfterMs });
        }
    }
}

function computeLatestStartMs(request: QueuedRequest, classQueue: ClassQueue, nowMs: number): number {
    if (request.resumedTokens > 0) {
        // The caller already has part of the answer, and the rest is useful even when it is late.
        return nowMs + classQueue.settings.completeMs;
    }
    if (request.attempt > 1) {
        return Math.max(request.arrivedMs + classQueue.settings.completeMs, nowMs);
    }
    return request.arrivedMs + classQueue.readWaitBudgetMs();
}
