/**
 * Refuses waiting requests that have missed their start deadline or are predicted to miss it under the current load.
 *
 * @packageDocumentation
 */
import { ErrorKind } from "@pimentocleat/types";
import { computeRetryAfterMs } from "../admission/admissionController.js";
import type { ClassQueue } from "./classQueue.js";
import type { PoolState } from "./poolState.js";
import type { WaitingRequest } from "./waitingRequests.js";

const shedIntervalMs = 100;
const maximumShedPerReview = 32;

/** Removes a waiting request from its queue and refuses it. */
export type RefuseWaiting = (waiting: WaitingRequest, kind: ErrorKind, retryAfterMs: number) => void;

/** Reviews the queues of a pool and refuses requests that can't start in time. */
export class QueueReview {
    private lastShedMs = 0;

    /** @param refuse - Removes and refuses a waiting request. */
    constructor(
        private readonly state: PoolState,
        private readonly refuse: RefuseWaiting,
    ) {}

    /** Refuses the waiting requests whose start deadline has passed. */
    refuseExpired(nowMs: number): void {
        for (let entry = this.state.classes.takeExpired(nowMs); entry !== undefined;) {
            const waiting = this.state.waiting.find(entry.request.requestId);
            if (waiting !== undefined) {
                const retryAfterMs = computeRetryAfterMs(waiting.classQueue.readWaitBudgetMs());
                this.refuse(waiting, ErrorKind.QueueDeadline, retryAfterMs);
            }
            entry = this.state.classes.takeExpired(nowMs);
        }
    }

    /**
     * Refuses waiting requests that are predicted to miss their start deadline, beginning with the lowest tier. Limits
     * how often it reviews the queues and how many requests it refuses in one review.
     *
     * @param nowMs - The monotonic time, in milliseconds.
     */
    refusePredictedLate(nowMs: number): void {
        if (nowMs - this.lastShedMs < shedIntervalMs) {
            return;
        }
        this.lastShedMs = nowMs;
        let remaining = maximumShedPerReview;
        for (const classQueue of this.state.classes.listFromLowestTier()) {
            remaining -= this.refusePredictedLateInClass(classQueue, nowMs, remaining);
            if (remaining <= 0) {
                return;
            }
        }
    }

    private refusePredictedLateInClass(classQueue: ClassQueue, nowMs: number, limit: number): number {
        const capacity = this.state.slots.readCapacity();
        for (let count = 0; count < limit; count += 1) {
            const advice = this.state.admission.adviseLastWaiting(classQueue, capacity, nowMs);
            const last = advice.admitted ? undefined : classQueue.queue.findShedCandidate();
            const waiting = last === undefined ? undefined : this.state.waiting.find(last.request.requestId);
            if (waiting === undefined) {
                return count;
            }
            this.refuse(waiting, ErrorKind.Shed, advice.retryAfterMs);
        }
        return limit;
    }
}
