/**
 * Which class gets the next free slot.
 *
 * @packageDocumentation
 */
import type { WaitingEntry } from "../fairness/fairQueue.js";
import type { ClassQueue } from "./classQueue.js";

/** What the order chose. */
export interface ChosenEntry {
    readonly classQueue: ClassQueue;
    readonly entry: WaitingEntry;
    /** Whether the class was chosen by its floor instead of by its tier. */
    readonly byFloor: boolean;
}

/** Largest share of slot starts that all floors together may take. */
const totalFloorShareLimit = 0.2;
/** A waiting class is owed one start of the whole pool in this time, whatever its share. */
const floorIntervalMs = 8_000;
/** Floors never save up more than this many starts. */
const floorCreditLimit = 2;
/** How far ahead of the least served class of its tier a class may run for its deadline's sake. */
const eligibleLeadMs = 1_000;

/**
 * Strict tiers; in a tier, the earliest deadline among the classes that are not ahead of their
 * weighted share; and a floor, which only changes the order of waiting requests.
 */
export class QueueOrder {
    private lastAccrualMs: number;

    /**
     * @param classes - The classes of the pool.
     * @param nowMs - Monotonic time.
     */
    constructor(
        private classes: readonly ClassQueue[],
        nowMs: number,
    ) {
        this.lastAccrualMs = nowMs;
    }

    /** @param classes - The classes that replace the former ones. */
    updateClasses(classes: readonly ClassQueue[]): void {
        this.classes = classes;
    }

    /**
     * Lets floors grow with time.
     *
     * @param nowMs - Monotonic time.
     * @param nodes - Nodes that share the pool.
     */
    advance(nowMs: number, nodes: number): void {
        const credit = (nowMs - this.lastAccrualMs) / (floorIntervalMs * nodes);
        this.lastAccrualMs = nowMs;
        for (const classQueue of this.classes) {
            if (classQueue.queue.countWaiting() > 0) {
                addFloorCredit(classQueue, credit);
            }
        }
    }

    /**
     * Finds the request for the next free slot.
     *
     * @returns The request, or undefined when none waits.
     */
    next(): ChosenEntry | undefined {
        const owed = this.findOwedClass();
        const classQueue = owed ?? this.findClassByTier();
        const entry = classQueue?.queue.next();
        if (classQueue === undefined || entry === undefined) {
            return undefined;
        }
        return { classQueue, entry, byFloor: owed !== undefined && owed !== this.findClassByTier() };
    }

    /**
     * Notes that a slot start was given to a class.
     *
     * @param chosen - What {@link QueueOrder.next} returned.
     */
    recordStart(chosen: ChosenEntry): void {
        const scale = this.computeFloorScale();
        for (const classQueue of this.classes) {
            if (classQueue.queue.countWaiting() > 0 || classQueue === chosen.classQueue) {
                addFloorCredit(classQueue, classQueue.settings.floorShare * scale);
            }
        }
        const { classQueue } = chosen;
        classQueue.floorCredit = Math.max(0, classQueue.floorCredit - 1);
        classQueue.virtualTime += classQueue.holdingMs.readMean() / classQueue.settings.weight;
    }

    /**
     * Brings a class that becomes active up to the least served active class of its tier.
     *
     * @param classQueue - A class without waiting requests.
     */
    activateClass(classQueue: ClassQueue): void {
        const least = this.findLeastVirtualTime(classQueue.settings.tier);
        if (least !== undefined) {
            classQueue.virtualTime = Math.max(classQueue.virtualTime, least);
        }
    }

    private computeFloorScale(): number {
        let total = 0;
        for (const classQueue of this.classes) {
            total += classQueue.settings.floorShare;
        }
        return total <= totalFloorShareLimit ? 1 : totalFloorShareLimit / total;
    }

    private findOwedClass(): ClassQueue | undefined {
        let owed: ClassQueue | undefined;
        for (const classQueue of this.classes) {
            const isOwed = classQueue.floorCredit >= 1 && classQueue.queue.countWaiting() > 0;
            if (isOwed && classQueue.floorCredit > (owed?.floorCredit ?? 0)) {
                owed = classQueue;
            }
        }
        return owed;
    }

    private findClassByTier(): ClassQueue | undefined {
        const tier = this.findHighestTier();
        const least = tier === undefined ? undefined : this.findLeastVirtualTime(tier);
        if (least === undefined) {
            return undefined;
        }
        let best: ClassQueue | undefined;
        let bestDeadlineMs = Infinity;
        for (const classQueue of this.classes) {
            if (classQueue.settings.tier !== tier || classQueue.virtualTime > least + eligibleLeadMs) {
                continue;
            }
            const deadlineMs = classQueue.queue.next()?.latestStartMs;
            if (deadlineMs !== undefined && deadlineMs < bestDeadlineMs) {
                best = classQueue;
                bestDeadlineMs = deadlineMs;
            }
        }
        return best;
    }

    private findHighestTier(): number | undefined {
        let highest: number | undefined;
        for (const { queue, settings } of this.classes) {
            if (queue.countWaiting() > 0 && settings.tier < (highest ?? Infinity)) {
                highest = settings.tier;
            }
        }
        return highest;
    }

    private findLeastVirtualTime(tier: number): number | undefined {
        let least: number | undefined;
        for (const { queue, settings, virtualTime } of this.classes) {
            if (settings.tier === tier && queue.countWaiting() > 0 && virtualTime < (least ?? Infinity)) {
                least = virtualTime;
            }
        }
        return least;
    }
}

function addFloorCredit(classQueue: ClassQueue, credit: number): void {
    classQueue.floorCredit = Math.min(floorCreditLimit, classQueue.floorCredit + credit);
}
