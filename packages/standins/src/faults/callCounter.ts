/**
 * Counts of the calls that a stand-in received.
 *
 * @packageDocumentation
 */
import type { FaultTarget } from "./faultSwitches.js";

/** Counts by service and call. */
export type CallCounts = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** Counts calls. */
export class CallCounter {
    private readonly counts: Record<string, Record<string, number>> = {};

    /**
     * Counts one call.
     *
     * @param target - The call.
     */
    addCall(target: FaultTarget): void {
        const calls = (this.counts[target.service] ??= {});
        calls[target.call] = (calls[target.call] ?? 0) + 1;
    }

    /** @returns The counts so far. */
    readCounts(): CallCounts {
        return structuredClone(this.counts);
    }
}
