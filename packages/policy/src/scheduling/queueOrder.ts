/**
 * Which class gets the next free slot.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { FloorEnforcer } from "../fairness/floorEnforcer.js";
import type { WaitingEntry } from "../fairness/fairQueue.js";
import type { ClassQueue } from "./classQueue.js";

/** What the order chose. */
export interface ChosenEntry {
    readonly classQueue: ClassQueue;
    readonly entry: WaitingEntry;
    /** Whether the class was chosen by its floor instead of by its tier. */
    readonly byFloor: boolean;
}

/** How far ahead of the least served class of its tier a class may run for its deadline's sake. */
const maximumVirtualTimeLeadMs = 1_000;

/**
 * Strict tiers; in a tier, the earliest deadline among the classes that are not ahead of their
 * weighted share; and a floor, which only changes the order of waiting requests.
 */
export class QueueOrder {
    protected classes: readonly ClassQueue[] = [];

    /**
     * @param floors - The floors of the classes.
     * @param clock - Source of time.
     */
    constructor(
        private readonly floors: FloorEnforcer,
        private readonly clock: Clock,
    ) {}

    /** @param classes - The classes that replace the former ones. */
    updateClasses(classes: readonly ClassQueue[]): void {
        this.classes = classes;
    }

    /** @returns The class that is owed a start by its floor. */
    findOwedClass(): ClassQueue | undefined {
        return this.floors.findOwedClass(this.classes, this.clock.monotonicMs());
    }

    /**
     * Finds the request for the next free slot.
     *
     * @param hasFreeSlot - Whether a request of a tier could start now; a lower tier never has more
     * free slots than a higher one.
     * @returns The request, or undefined when none can start.
     */
    next(hasFreeSlot: (tier: number) => boolean): ChosenEntry | undefined {
        const first = this.findClassByTier();
        if (first === undefined || !hasFreeSlot(first.settings.tier)) {
            return undefined;
        }
        const owed = this.findOwedClass();
        // The floor also counts when nothing better waits here, since it may wait on another node.
        const byFloor = owed !== undefined && hasFreeSlot(owed.settings.tier);
        const classQueue = byFloor ? owed : first;
        const entry = classQueue.queue.next();
        return entry === undefined ? undefined : { classQueue, entry, byFloor };
    }

    /**
     * Notes that a slot start was given to a class.
     *
     * @param chosen - What {@link QueueOrder.next} returned.
     */
    recordStart(chosen: ChosenEntry): void {
        const { classQueue } = chosen;
        this.floors.recordStart(classQueue, this.classes, this.clock.monotonicMs());
        classQueue.virtualTime += classQueue.holdingMs.readMean() / classQueue.settings.weight;
    }

    /**
     * Brings a class that becomes active up to the least served active class of its tier.
     *
     * @param classQueue - A class without waiting requests.
     */
    advanceVirtualTime(classQueue: ClassQueue): void {
        const least = this.findMinimumVirtualTime(classQueue.settings.tier);
        if (least !== undefined) {
            classQueue.virtualTime = Math.max(classQueue.virtualTime, least);
        }
    }

    protected findClassByTier(): ClassQueue | undefined {
        const tier = this.findHighestTier();
        const least = tier === undefined ? undefined : this.findMinimumVirtualTime(tier);
        if (least === undefined) {
            return undefined;
        }
        let best: ClassQueue | undefined;
        let bestDeadlineMs = Infinity;
        for (const classQueue of this.classes) {
            if (
                classQueue.settings.tier !== tier ||
                classQueue.virtualTime > least + maximumVirtualTimeLeadMs
            ) {
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

    private findMinimumVirtualTime(tier: number): number | undefined {
        let least: number | undefined;
        for (const { queue, settings, virtualTime } of this.classes) {
            if (settings.tier === tier && queue.countWaiting() > 0 && virtualTime < (least ?? Infinity)) {
                least = virtualTime;
            }
        }
        return least;
    }
}
