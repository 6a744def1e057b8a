/**
 * The order in which request classes get free slots.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { FloorEnforcer } from "../fairness/floorEnforcer.js";
import type { WaitingEntry } from "../fairness/fairQueue.js";
import type { ClassQueue } from "./classQueue.js";

/** The request chosen for the next free slot. */
export interface ChosenEntry {
    readonly classQueue: ClassQueue;
    readonly entry: WaitingEntry;
    /** Whether the class was chosen to meet its floor rather than by its tier. */
    readonly byFloor: boolean;
}

/** Virtual time by which a class may be ahead of the least served class of its tier and still be chosen by deadline. */
const maximumVirtualTimeLeadMs = 1_000;

/**
 * Chooses the next request to start. Tiers have strict priority. Within a tier, the earliest start deadline is
 * chosen among the classes that aren't ahead of their weighted share. A class that is owed a start by its floor goes
 * first; a floor only changes the order of waiting requests.
 */
export class QueueOrder {
    protected classes: readonly ClassQueue[] = [];

    /**
     * @param floors - Tracks the floors of the classes.
     * @param clock - The source of time.
     */
    constructor(
        private readonly floors: FloorEnforcer,
        private readonly clock: Clock,
    ) {}

    /**
     * Replaces the classes.
     *
     * @param classes - All classes of the pool.
     */
    updateClasses(classes: readonly ClassQueue[]): void {
        this.classes = classes;
    }

    /** @returns The class that is owed a start by its floor, or undefined when there is none. */
    findOwedClass(): ClassQueue | undefined {
        return this.floors.findOwedClass(this.classes, this.clock.monotonicMs());
    }

    /**
     * Finds the request for the next free slot.
     *
     * @param hasFreeSlot - Checks whether a request of a tier could start now. A lower tier never has more free
     * slots than a higher one.
     * @returns The chosen request, or undefined when none can start.
     */
    next(hasFreeSlot: (tier: number) => boolean): ChosenEntry | undefined {
        const first = this.findClassByTier();
        if (first === undefined || !hasFreeSlot(first.settings.tier)) {
            return undefined;
        }
        const owed = this.findOwedClass();
        // The start counts as a floor start even when no higher tier is waiting here, since one may be waiting on
        // another node.
        const byFloor = owed !== undefined && hasFreeSlot(owed.settings.tier);
        const classQueue = byFloor ? owed : first;
        const entry = classQueue.queue.next();
        return entry === undefined ? undefined : { classQueue, entry, byFloor };
    }

    /**
     * Records that a chosen request starts, and charges its expected slot time to the class.
     *
     * @param chosen - The result of {@link QueueOrder.next}.
     */
    recordStart(chosen: ChosenEntry): void {
        const { classQueue } = chosen;
        this.floors.recordStart(classQueue, this.classes, this.clock.monotonicMs());
        classQueue.virtualTime += classQueue.holdingMs.readMean() / classQueue.settings.weight;
    }

    /**
     * Advances the virtual time of a class that becomes active to that of the least served active class of its
     * tier, so that the class gains no credit for the time in which it was idle.
     *
     * @param classQueue - A class that has no waiting requests yet.
     */
    advanceVirtualTime(classQueue: ClassQueue): void {
        const minimum = this.findMinimumVirtualTime(classQueue.settings.tier);
        if (minimum !== undefined) {
            classQueue.virtualTime = Math.max(classQueue.virtualTime, minimum);
        }
    }

    protected findClassByTier(): ClassQueue | undefined {
        const tier = this.findHighestTier();
        const minimum = tier === undefined ? undefined : this.findMinimumVirtualTime(tier);
        if (minimum === undefined) {
            return undefined;
        }
        let best: ClassQueue | undefined;
        let bestDeadlineMs = Infinity;
        for (const classQueue of this.classes) {
            if (
                classQueue.settings.tier !== tier ||
                classQueue.virtualTime > minimum + maximumVirtualTimeLeadMs
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
        let minimum: number | undefined;
        for (const { queue, settings, virtualTime } of this.classes) {
            if (settings.tier === tier && queue.countWaiting() > 0 && virtualTime < (minimum ?? Infinity)) {
                minimum = virtualTime;
            }
        }
        return minimum;
    }
}
