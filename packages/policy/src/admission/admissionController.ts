/**
 * Predicts how long a request would wait, and refuses on arrival the requests that cannot meet their target.
 *
 * @packageDocumentation
 */
import type { PeerDemand } from "../capacity/peerDemand.js";
import { floorIntervalMs } from "../fairness/floorEnforcer.js";
import type { ClassQueue } from "../scheduling/classQueue.js";

/** The decision of admission about a request. */
export interface AdmissionAdvice {
    readonly admitted: boolean;
    /** Predicted wait for a slot, in milliseconds. */
    readonly waitMs: number;
    /** Time until a request of the same class is expected to be admitted, in milliseconds from now. */
    readonly retryAfterMs: number;
}

/**
 * A request is refused only when the predicted wait exceeds its wait budget by this factor. Requests
 * below it are queued, and are refused at their start deadline if no slot becomes free. The margin
 * keeps errors of the estimate from refusing a request of a higher tier that would have had a slot.
 */
const refusalWaitFactor = 1.2;
const minimumRetryAfterMs = 100;
const maximumRetryAfterMs = 60_000;
/** Lower bound of the slots that a prediction divides by. */
const minimumSlots = 0.02;

/** Admits or refuses requests by their predicted wait. */
export class AdmissionController {
    private classes: readonly ClassQueue[] = [];

    /** @param peers - Waiting requests and request rates of the other nodes. */
    constructor(private readonly peers: PeerDemand) {}

    /** Replaces the classes of the pool. */
    updateClasses(classes: readonly ClassQueue[]): void {
        this.classes = classes;
    }

    /**
     * Predicts the wait of a new request and decides whether it may be queued.
     *
     * @param classQueue - The request's class.
     * @param customer - The request's customer.
     * @param slots - Slots of the pool, of all nodes together.
     * @param nowMs - Monotonic time.
     * @returns Whether the request is admitted, its predicted wait, and when to retry.
     */
    advise(classQueue: ClassQueue, customer: string, slots: number, nowMs: number): AdmissionAdvice {
        const requestsAhead = classQueue.queue.countAhead(customer, classQueue.tokens.readMean());
        const waitMs = this.predictWaitMs(classQueue, requestsAhead + 1, slots, nowMs);
        const budgetMs = classQueue.readWaitBudgetMs();
        return {
            admitted: waitMs <= budgetMs * refusalWaitFactor || this.hasFloorCapacity(classQueue, budgetMs),
            waitMs,
            retryAfterMs: computeRetryAfterMs(waitMs - budgetMs),
        };
    }

    private hasLowerTierWaiting({ settings }: ClassQueue): boolean {
        return this.classes.some(
            (other) =>
                other.settings.tier > settings.tier &&
                other.queue.countWaiting() + this.peers.readDemand(other.settings.name).waiting > 0,
        );
    }

    /** Returns whether a class's floor can start one more waiting request in time; one always fits. */
    private hasFloorCapacity(classQueue: ClassQueue, budgetMs: number): boolean {
        const waiting =
            classQueue.queue.countWaiting() + this.peers.readDemand(classQueue.settings.name).waiting;
        return waiting < Math.max(1, Math.floor(budgetMs / floorIntervalMs));
    }

    /**
     * Predicts the wait of the last waiting request of a class and decides whether it may keep waiting.
     * A class isn't shed while requests of a lower tier wait.
     *
     * @param classQueue - The class.
     * @param slots - Slots of the pool, of all nodes together.
     * @param nowMs - Monotonic time.
     * @returns Whether the request may keep waiting, its predicted wait, and when to retry.
     */
    adviseLastWaiting(classQueue: ClassQueue, slots: number, nowMs: number): AdmissionAdvice {
        const waitMs = this.predictWaitMs(classQueue, classQueue.queue.countWaiting(), slots, nowMs);
        const budgetMs = classQueue.readWaitBudgetMs();
        return {
            admitted:
                waitMs <= budgetMs * refusalWaitFactor ||
                this.hasLowerTierWaiting(classQueue) ||
                this.hasFloorCapacity(classQueue, budgetMs + floorIntervalMs),
            waitMs,
            retryAfterMs: computeRetryAfterMs(waitMs - budgetMs),
        };
    }

    private predictWaitMs(classQueue: ClassQueue, position: number, slots: number, nowMs: number): number {
        const { tier, weight, floorShare } = classQueue.settings;
        // While a lower tier waits, an early refusal would give slots to that tier, so all slots are counted.
        const countsAllSlots = this.hasLowerTierWaiting(classQueue);
        let higherLoad = 0;
        let higherWorkMs = 0;
        let tierWorkMs = 0;
        let tierWeight = weight;
        for (const other of this.classes) {
            const holdingMs = other.holdingMs.readMean();
            const peerDemand = this.peers.readDemand(other.settings.name);
            const workMs = (other.queue.countWaiting() + peerDemand.waiting) * holdingMs;
            if (other.settings.tier < tier) {
                const perSecond = other.admitted.readPerSecond(nowMs) + peerDemand.perSecond;
                higherLoad += (perSecond * holdingMs) / 1_000;
                higherWorkMs += workMs;
            } else if (other !== classQueue && other.settings.tier === tier && workMs > 0) {
                tierWorkMs += workMs;
                tierWeight += other.settings.weight;
            }
        }
        const peerWaiting = this.peers.readDemand(classQueue.settings.name).waiting;
        // Assumes the same relative position in the queues of the other nodes.
        const share = Math.min(1, position / (classQueue.queue.countWaiting() + 1));
        const ownWorkMs = (position + peerWaiting * share) * classQueue.holdingMs.readMean();
        const fairWorkMs = Math.min(ownWorkMs + tierWorkMs, (ownWorkMs * tierWeight) / weight);
        const residualSlots = countsAllSlots ? slots : slots - higherLoad;
        const availableSlots = Math.max(residualSlots, slots * floorShare, minimumSlots);
        return higherWorkMs / Math.max(slots, minimumSlots) + fairWorkMs / availableSlots;
    }
}

/**
 * Computes the retry delay to send to a caller: the predicted delay, rounded and kept within bounds.
 *
 * @param retryAfterMs - Predicted delay, in milliseconds.
 * @returns The delay to send, in milliseconds.
 */
export function computeRetryAfterMs(retryAfterMs: number): number {
    return Math.round(Math.min(Math.max(retryAfterMs, minimumRetryAfterMs), maximumRetryAfterMs));
}
