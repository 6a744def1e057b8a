/**
 * How often the calls of the plain service stand-in took effect.
 *
 * @packageDocumentation
 */

/** Counts of executions by what they were for. */
export interface ExecutionCounts {
    /** By order identifier. */
    readonly orders: Readonly<Record<string, number>>;
    /** By seat and holder as `seat/holder`; a seat that was taken already is counted in `refusals`. */
    readonly bookings: Readonly<Record<string, number>>;
    /** Bookings that found the seat taken, by seat. */
    readonly refusals: Readonly<Record<string, number>>;
    /** By `x-request-id`. */
    readonly requests: Readonly<Record<string, number>>;
}

/** Names of the counts. */
export type ExecutionKind = keyof ExecutionCounts;

/** Counts executions. */
export class ExecutionCounter {
    private readonly counts: Record<ExecutionKind, Record<string, number>> = {
        orders: {},
        bookings: {},
        refusals: {},
        requests: {},
    };

    /**
     * Counts one execution.
     *
     * @param name - Which count.
     * @param key - What it was for.
     */
    addExecution(name: ExecutionKind, key: string): void {
        const counts = this.counts[name];
        counts[key] = (counts[key] ?? 0) + 1;
    }

    /** @returns The counts so far. */
    readCounts(): ExecutionCounts {
        return structuredClone(this.counts);
    }
}
