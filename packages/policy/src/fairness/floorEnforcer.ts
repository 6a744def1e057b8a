/**
 * Guarantees each class its floor: a small share of the pool's slot starts while it has waiting requests.
 *
 * @packageDocumentation
 */
import type { PeerDemand } from "../capacity/peerDemand.js";
import type { ClassQueue } from "../scheduling/classQueue.js";

/** Maximum share of slot starts that all floors together may take. */
const maximumTotalFloorShare = 0.2;
/** Time without a start in the whole pool after which a waiting class is owed one, in milliseconds. */
export const floorIntervalMs = 6_000;
/** Maximum number of starts that a floor may accumulate. */
const maximumFloorCredit = 2;

/**
 * Determines which class is owed a start. A class earns its floor share of each start in the pool while it
 * has waiting requests on any node, and one start after 6 s without any. All nodes count the same starts,
 * and the node with the most waiting requests of the class makes the owed start.
 */
export class FloorEnforcer {
    private readonly starts = new Map<string, number>();

    /** @param peers - Waiting requests of the other nodes. */
    constructor(
        private readonly node: string,
        private readonly peers: PeerDemand,
    ) {}

    /**
     * Finds the class to which this node owes a start.
     *
     * @param classes - The classes of the pool.
     * @param nowMs - Monotonic time.
     * @returns The class with the most credit, or undefined when this node owes no start.
     */
    findOwedClass(classes: readonly ClassQueue[], nowMs: number): ClassQueue | undefined {
        let owed: ClassQueue | undefined;
        for (const classQueue of classes) {
            const isOwed = classQueue.floorCredit >= 1 || this.isOverdue(classQueue, nowMs);
            const hasMostCredit = classQueue.floorCredit > (owed?.floorCredit ?? -1);
            if (isOwed && hasMostCredit && this.hasMostWaiting(classQueue)) {
                owed = classQueue;
            }
        }
        return owed;
    }

    /** @returns Total slot starts of this node, by class. */
    summarizeStarts(): Record<string, number> {
        return Object.fromEntries(this.starts);
    }

    /**
     * Records starts of another node.
     *
     * @param starts - Number of starts by class.
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
     * Records a start on this node.
     *
     * @param started - The class of the started request.
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
        const peerDemand = this.peers.readDemand(classQueue.settings.name);
        const lastStartMs = Math.max(
            classQueue.lastStartMs,
            peerDemand.lastStartMs,
            classQueue.activeSinceMs,
        );
        return nowMs - lastStartMs >= floorIntervalMs;
    }

    private hasMostWaiting(classQueue: ClassQueue): boolean {
        const own = classQueue.queue.countWaiting();
        const peerDemand = this.peers.readDemand(classQueue.settings.name);
        const isTie = own === peerDemand.largestWaiting && this.node < peerDemand.largestNode;
        return own > 0 && (own > peerDemand.largestWaiting || isTie);
    }
}

function takeCredit(classQueue: ClassQueue, starts: number): void {
    classQueue.floorCredit = Math.max(0, classQueue.floorCredit - starts);
}

function computeFloorScale(classes: readonly ClassQueue[]): number {
    const total = classes.reduce((sum, { settings }) => sum + settings.floorShare, 0);
    return total <= maximumTotalFloorShare ? 1 : maximumTotalFloorShare / total;
}
