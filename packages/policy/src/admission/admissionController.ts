/**
 * Predicts how long a request would wait, and refuses at once what cannot meet its target.
 *
 * @packageDocumentation
 */
import type { PeerDemand } from "../capacity/peerDemand.js";
import { floorIntervalMs } from "../fairness/floorEnforcer.js";
import type { ClassQueue } from "../scheduling/classQueue.js";

/** What admission said about a request. */
export interface AdmissionAdvice {
    readonly admitted: boolean;
    /** Predicted wait for a slot, in milliseconds. */
    readonly waitMs: number;
    /** When a request like this would fit again, in milliseconds from now. */
    readonly retryAfterMs: number;
}

/**
 * A request is refused only when the predicted wait exceeds its budget by this factor; closer calls
 * are queued and answered at their latest start. Keeps errors of the estimate from refusing a higher
 * tier that would have had a slot.
 */
const refusalWaitFactor = 1.2;
const minimumRetryAfterMs = 100;
const maximumRetryAfterMs = 60_000;
const minimumSlots = 0.02;

/** Admission by predicted wait. */
export class AdmissionController {
    private classes: readonly ClassQueue[] = [];

    /**
     * @param peers - What waits and arrives at the other nodes.
     */
    constructor(private readonly peers: PeerDemand) {}

    /** @param classes - The classes that replace the former ones. */
    updateClasses(classes: readonly ClassQueue[]): void {
        this.classes = classes;
    }

    /**
     * Advises whether a request may wait.
     *
     * @param classQueue - Its class.
     * @param customer - Its customer.
     * @param slots - Slots of the pool that all nodes use together.
     * @param nowMs - Monotonic time.
     * @returns The advice.
     */
    advise(classQueue: ClassQueue, customer: string, slots: number, nowMs: number): AdmissionAdvice {
        const ahead = classQueue.queue.countAhead(customer, classQueue.tokens.readMean());
        const waitMs = this.predictWaitMs(classQueue, ahead + 1, slots, nowMs);
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

    /** Keeps as many requests of a class waiting as its floor can start in time, at least one. */
    private hasFloorCapacity(classQueue: ClassQueue, budgetMs: number): boolean {
        const waiting =
            classQueue.queue.countWaiting() + this.peers.readDemand(classQueue.settings.name).waiting;
        return waiting < Math.max(1, Math.floor(budgetMs / floorIntervalMs));
    }

    /**
     * Predicts the wait of the last waiting request of a class; a class isn't shed while requests of a
     * lower tier wait.
     *
     * @param classQueue - The class.
     * @param slots - Slots of the pool that all nodes use together.
     * @param nowMs - Monotonic time.
     * @returns Whether it will be too late, and when to come back.
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
        // An early refusal would give the slots to a lower tier, so count on all of them.
        const isCautious = this.hasLowerTierWaiting(classQueue);
        let higherLoad = 0;
        let higherWorkMs = 0;
        let tierWorkMs = 0;
        let tierWeight = weight;
        for (const other of this.classes) {
            const holdingMs = other.holdingMs.readMean();
            const elsewhere = this.peers.readDemand(other.settings.name);
            const workMs = (other.queue.countWaiting() + elsewhere.waiting) * holdingMs;
            if (other.settings.tier < tier) {
                const perSecond = other.admitted.readPerSecond(nowMs) + elsewhere.perSecond;
                higherLoad += (perSecond * holdingMs) / 1_000;
                higherWorkMs += workMs;
            } else if (other !== classQueue && other.settings.tier === tier && workMs > 0) {
                tierWorkMs += workMs;
                tierWeight += other.settings.weight;
            }
        }
        const elsewhere = this.peers.readDemand(classQueue.settings.name).waiting;
        // The same place in the queues of the other nodes.
        const share = Math.min(1, position / (classQueue.queue.countWaiting() + 1));
        const ownWorkMs = (position + elsewhere * share) * classQueue.holdingMs.readMean();
        const fairWorkMs = Math.min(ownWorkMs + tierWorkMs, (ownWorkMs * tierWeight) / weight);
        const residualSlots = isCautious ? slots : slots - higherLoad;
        const leftSlots = Math.max(residualSlots, slots * floorShare, minimumSlots);
        return higherWorkMs / Math.max(slots, minimumSlots) + fairWorkMs / leftSlots;
    }
}

/**
 * Keeps a time to come back within bounds.
 *
 * @param retryAfterMs - The computed time, in milliseconds.
 * @returns The time to send.
 */
export function computeRetryAfterMs(retryAfterMs: number): number {
    return Math.round(Math.min(Math.max(retryAfterMs, minimumRetryAfterMs), maximumRetryAfterMs));
}
