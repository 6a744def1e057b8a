/**
 * Counts the calls that a stand-in received.
 *
 * @packageDocumentation
 */
import type { FaultTarget } from "./faultSwitches.js";

/** Number of calls by service and call name. */
export type CallCounts = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** Counts calls by service and call name. */
export class CallCounter {
    private readonly counts: Record<string, Record<string, number>> = {};

    /**
     * Counts one call.
     *
     * @param target - Service and name of the call.
     */
    addCall(target: FaultTarget): void {
        const calls = (this.counts[target.service] ??= {});
        calls[target.call] = (calls[target.call] ?? 0) + 1;
    }

    /** @returns A copy of the counts so far. */
    readCounts(): CallCounts {
        return structuredClone(this.counts);
    }
}
