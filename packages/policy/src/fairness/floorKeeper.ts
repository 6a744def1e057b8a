/**
 * The floor of each class: a small share of the pool's slot starts while it has waiting requests.
 *
 * @packageDocumentation
 */
import type { PeerDemand } from "../capacity/peerDemand.js";
import type { ClassQueue } from "../scheduling/classQueue.js";

/** Largest share of slot starts that all floors together may take. */
const totalFloorShareLimit = 0.2;
/** A waiting class is owed a start of the whole pool after this time without one. */
const floorIntervalMs = 8_000;
/** Floors never save up more starts than this. */
const floorCreditLimit = 2;

/**
 * Knows which class is owed a start. A class earns its share of each start in the pool, divided
 * between the nodes by their waiting requests; and when no node has started it for 8 s, the node with the most
 * waiting requests owes it one.
 */
export class FloorKeeper {
    private starts = 0;

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
     * @returns The class that is owed most, or undefined when none is owed a start.
     */
    findOwedClass(classes: readonly ClassQueue[], nowMs: number): ClassQueue | undefined {
        let owed: ClassQueue | undefined;
        for (const classQueue of classes) {
            if (classQueue.queue.countWaiting() === 0) {
                continue;
            }
            const isOwed = classQueue.floorCredit >= 1 || this.isOverdue(classQueue, nowMs);
            if (isOwed && classQueue.floorCredit > (owed?.floorCredit ?? -1)) {
                owed = classQueue;
            }
        }
        return owed;
    }

    /** @returns Slot starts of this node so far. */
    countStarts(): number {
        return this.starts;
    }

    /**
     * Notes starts of other nodes.
     *
     * @param count - How many.
     * @param classes - The classes of the pool.
     */
    recordPeerStarts(count: number, classes: readonly ClassQueue[]): void {
        this.addCredits(count, classes);
    }

    /**
     * Notes a start of a class.
     *
     * @param started - The class.
     * @param classes - The classes of the pool.
     * @param nowMs - Monotonic time.
     */
    recordStart(started: ClassQueue, classes: readonly ClassQueue[], nowMs: number): void {
        this.starts += 1;
        this.addCredits(1, classes);
        started.floorCredit = Math.max(0, started.floorCredit - 1);
        started.lastStartMs = nowMs;
    }

    private addCredits(starts: number, classes: readonly ClassQueue[]): void {
        const scale = computeScale(classes) * starts;
        for (const classQueue of classes) {
            const share = classQueue.settings.floorShare * scale * this.computeNodeShare(classQueue);
            classQueue.floorCredit = Math.min(floorCreditLimit, classQueue.floorCredit + share);
        }
    }

    /** This node's part of the class's waiting requests in the pool. */
    private computeNodeShare(classQueue: ClassQueue): number {
        const own = classQueue.queue.countWaiting();
        return own === 0 ? 0 : own / (own + this.peers.readDemand(classQueue.settings.name).waiting);
    }

    private isOverdue(classQueue: ClassQueue, nowMs: number): boolean {
        const elsewhere = this.peers.readDemand(classQueue.settings.name);
        const lastStartMs = Math.max(classQueue.lastStartMs, elsewhere.lastStartMs, classQueue.activeSinceMs);
        if (nowMs - lastStartMs < floorIntervalMs) {
            return false;
        }
        const own = classQueue.queue.countWaiting();
        const isTie = own === elsewhere.largestWaiting && this.node < elsewhere.largestNode;
        return own > elsewhere.largestWaiting || isTie;
    }
}

function computeScale(classes: readonly ClassQueue[]): number {
    const total = classes.reduce((sum, { settings }) => sum + settings.floorShare, 0);
    return total <= totalFloorShareLimit ? 1 : totalFloorShareLimit / total;
}
