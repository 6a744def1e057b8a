/**
 * Counts how often the calls of the plain service stand-in were executed.
 *
 * @packageDocumentation
 */

/** Execution counts by kind, and for each kind by key. */
export interface ExecutionCounts {
    /** Executed orders by order identifier. */
    readonly orders: Readonly<Record<string, number>>;
    /** Successful bookings by seat and holder, as `seat/holder`. */
    readonly bookings: Readonly<Record<string, number>>;
    /** Bookings refused because the seat was already taken, by seat. */
    readonly refusals: Readonly<Record<string, number>>;
    /** Executed calls by `x-request-id`. */
    readonly requests: Readonly<Record<string, number>>;
}

/** Kind of execution that is counted. */
export type ExecutionKind = keyof ExecutionCounts;

/** Counts the executions of each order, booking, refusal and request. */
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
     * @param kind - Kind of execution.
     * @param key - Order, booking, seat or request identifier, depending on the kind.
     */
    addExecution(kind: ExecutionKind, key: string): void {
        const counts = this.counts[kind];
        counts[key] = (counts[key] ?? 0) + 1;
    }

    /** @returns The counts so far. */
    readCounts(): ExecutionCounts {
        return structuredClone(this.counts);
    }
}
