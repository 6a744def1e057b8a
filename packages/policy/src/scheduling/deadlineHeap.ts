/**
 * A priority queue of waiting requests by start deadline.
 *
 * @packageDocumentation
 */
import { Heap } from "heap-js";
import type { WaitingEntry } from "../fairness/fairQueue.js";

/** Orders waiting entries by start deadline; entries marked as removed are discarded when they reach the top. */
export class DeadlineHeap {
    private readonly heap = new Heap<WaitingEntry>((left, right) => left.latestStartMs - right.latestStartMs);

    /** Adds a waiting entry. */
    add(entry: WaitingEntry): void {
        this.heap.push(entry);
    }

    /** @returns The earliest start deadline, in monotonic milliseconds, or undefined when no entry is waiting. */
    readNextDeadlineMs(): number | undefined {
        return this.findEarliest()?.latestStartMs;
    }

    /**
     * Takes an entry whose start deadline has passed.
     *
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The entry, or undefined when no start deadline has passed.
     */
    takeExpired(nowMs: number): WaitingEntry | undefined {
        const entry = this.findEarliest();
        if (entry === undefined || entry.latestStartMs > nowMs) {
            return undefined;
        }
        return this.heap.pop();
    }

    private findEarliest(): WaitingEntry | undefined {
        while (this.heap.peek()?.removed === true) {
            this.heap.pop();
        }
        return this.heap.peek();
    }
}
