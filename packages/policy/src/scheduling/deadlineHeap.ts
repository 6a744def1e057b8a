/**
 * The latest useful starts of waiting requests, earliest first.
 *
 * @packageDocumentation
 */
import { Heap } from "heap-js";
import type { WaitingEntry } from "../fairness/fairQueue.js";

/** Orders waiting entries by their latest start; removed entries are skipped when met. */
export class DeadlineHeap {
    private readonly heap = new Heap<WaitingEntry>((left, right) => left.latestStartMs - right.latestStartMs);

    /** @param entry - A waiting entry. */
    add(entry: WaitingEntry): void {
        this.heap.push(entry);
    }

    /** @returns The earliest latest start of a waiting entry, in monotonic milliseconds. */
    readNextDeadlineMs(): number | undefined {
        return this.findEarliest()?.latestStartMs;
    }

    /**
     * Takes an entry that is due.
     *
     * @param nowMs - Monotonic time.
     * @returns The entry, or undefined when none is due.
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
