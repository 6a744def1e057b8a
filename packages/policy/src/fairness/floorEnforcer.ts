/**
 * The floor of each class: a small share of the pool's slot starts while it has waiting requests.
 *
 * @packageDocumentation
 */
import type { PeerDemand } from "../capacity/peerDemand.js";
import type { ClassQueue } from "../scheduling/classQueue.js";

/** Largest share of slot starts that all floors together may take. */
const maximumTotalFloorShare = 0.2;
/** A waiting class is owed a start of the whole pool after this time without one. */
export const floorIntervalMs = 6_000;
/** Floors never save up more starts than this. */
const maximumFloorCredit = 2;

/**
 * Knows which class is owed a start. A class earns its share of each start in the pool while it has
 * waiting requests anywhere, and one start when none was made for 6 s. All nodes count the same
 * starts, and the node with the most waiting requests of the class pays.
 */
export class FloorEnforcer {
    private readonly starts = new Map<string, number>();

    /**
     * @param node - This node.
     * @param peers - What waits at the other nodes.
     */
    constructor(
        private readonly node: string,
        private readonly peers: PeerDemand,
    ) {}

    /**
     * @param classes - The classes of the pool.
     * @param nowMs - Monotonic time.
     * @returns The class that is owed most, or undefined when none is owed a start here.
     */
    findOwedClass(classes: readonly ClassQueue[], nowMs: number): ClassQueue | undefined {
        let owed: ClassQueue | undefined;
        for (const classQueue of classes) {
            const isOwed = classQueue.floorCredit >= 1 || this.isOverdue(classQueue, nowMs);
            const isMost = classQueue.floorCredit > (owed?.floorCredit ?? -1);
            if (isOwed && isMost && this.hasMostWaiting(classQueue)) {
                owed = classQueue;
            }
        }
        return owed;
    }

    /** @returns Slot starts of this node so far, by class. */
    summarizeStarts(): Record<string, number> {
        return Object.fromEntries(this.starts);
    }

    /**
     * Notes starts of another node.
     *
     * @param starts - How many, by class.
     * @param classes - The classes of the pool.
     */
    recordPeerStarts(starts: ReadonlyMap<string, number>, classes: readonly ClassQueue[]): void {
        let total = 0;
        for (const count of starts.values()) {
            total += count;
        }
        this.addCredits(total, classes);
        for (const classQueue of classes) {
            takeCredit(classQueue, starts.get(classQueue.settings.name) ?? 0);
        }
    }

    /**
     * Notes a start on this node.
     *
     * @param started - The class.
     * @param classes - The classes of the pool.
     * @param nowMs - Monotonic time.
     */
    recordStart(started: ClassQueue, classes: readonly ClassQueue[], nowMs: number): void {
        const { name } = started.settings;
        this.starts.set(name, (this.starts.get(name) ?? 0) + 1);
        this.addCredits(1, classes);
        takeCredit(started, 1);
        started.lastStartMs = nowMs;
    }

    private addCredits(starts: number, classes: readonly ClassQueue[]): void {
        const scale = computeFloorScale(classes) * starts;
        for (const classQueue of classes) {
            const { settings, queue } = classQueue;
            if (queue.countWaiting() + this.peers.readDemand(settings.name).waiting > 0) {
                const credit = classQueue.floorCredit + settings.floorShare * scale;
                classQueue.floorCredit = Math.min(maximumFloorCredit, credit);
            }
        }
    }

    private isOverdue(classQueue: ClassQueue, nowMs: number): boolean {
        const elsewhere = this.peers.readDemand(classQueue.settings.name);
        const lastStartMs = Math.max(classQueue.lastStartMs, elsewhere.lastStartMs, classQueue.activeSinceMs);
        return nowMs - lastStartMs >= floorIntervalMs;
    }

    private hasMostWaiting(classQueue: ClassQueue): boolean {
        const own = classQueue.queue.countWaiting();
        const elsewhere = this.peers.readDemand(classQueue.settings.name);
        const isTie = own === elsewhere.largestWaiting && this.node < elsewhere.largestNode;
        return own > 0 && (own > elsewhere.largestWaiting || isTie);
    }
}

function takeCredit(classQueue: ClassQueue, starts: number): void {
    classQueue.floorCredit = Math.max(0, classQueue.floorCredit - starts);
}

function computeFloorScale(classes: readonly ClassQueue[]): number {
    const total = classes.reduce((sum, { settings }) => sum + settings.floorShare, 0);
    return total <= maximumTotalFloorShare ? 1 : maximumTotalFloorShare / total;
}
