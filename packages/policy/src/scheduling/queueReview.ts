/**
 * Waiting requests that must be answered now: too late, or hopeless under the present load.
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

/** Takes a waiting request out of the queue and answers it. */
export type RefuseWaiting = (waiting: WaitingRequest, kind: ErrorKind, retryAfterMs: number) => void;

/** Reviews the queues of a pool. */
export class QueueReview {
    private lastShedMs = 0;

    /**
     * @param state - The pool's state.
     * @param refuse - Answers a request.
     */
    constructor(
        private readonly state: PoolState,
        private readonly refuse: RefuseWaiting,
    ) {}

    /**
     * Answers requests whose latest start has passed.
     *
     * @param nowMs - Monotonic time.
     */
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
     * Refuses waiting requests that became hopeless, from the lowest tier up.
     *
     * @param nowMs - Monotonic time.
     */
    refusePredictedLate(nowMs: number): void {
        if (nowMs - this.lastShedMs < shedIntervalMs) {
            return;
        }
        this.lastShedMs = nowMs;
        let left = maximumShedPerReview;
        for (const classQueue of this.state.classes.listFromLowestTier()) {
            left -= this.refusePredictedLateInClass(classQueue, nowMs, left);
            if (left <= 0) {
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
