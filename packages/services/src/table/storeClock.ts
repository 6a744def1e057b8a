/**
 * The steady clock of a store, which no step of a host's clock affects.
 *
 * @packageDocumentation
 */

/** Tells what time of the store's clock this node knows. */
export interface StoreClock {
    /**
     * @returns The latest time that an answer of the store's current era has named, in milliseconds from an arbitrary
     * start; undefined before such an answer, and for stores without a clock. It is never ahead of the store.
     */
    readSteadyMs(): number | undefined;
}

/** The clock of stores that name no time. */
export const noStoreClock: StoreClock = { readSteadyMs: () => undefined };
