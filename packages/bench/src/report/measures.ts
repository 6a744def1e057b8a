/**
 * The measures of a run, in one format for experiments, tests and live nodes.
 *
 * @packageDocumentation
 */

/** Numbers of requests of one class by result. */
export interface ClassMeasures {
    offered: number;
    /** Complete responses within the class's targets. */
    attained: number;
    /** Complete responses that missed a target. */
    late: number;
    refused: number;
    failed: number;
    /** Starts on a slot that the class got by its floor. */
    floorStarts: number;
    /**
     * Minimum ratio of the class's starts to its floor over the 10 s windows throughout which requests
     * of the class waited; undefined when there was none.
     */
    leastFloorShare: number | undefined;
}

/** Measures of one policy in one run. */
export interface RunMeasures {
    readonly policy: string;
    readonly classes: Readonly<Record<string, ClassMeasures>>;
    /** Slot time of requests that met their targets, as a share of the available slot time. */
    readonly goodput: number;
    /** Slot time in use, as a share of the available slot time. */
    readonly utilization: number;
    /** Generated tokens that are part of no complete response, as a share of all generated tokens. */
    readonly wastedTokens: number;
    /** Minimum ratio of the tokens that a customer got to its max-min fair share; at most 1. */
    readonly worstCustomer: number;
    /** Cost of the used slot time per 1,000 tokens of complete responses. */
    readonly costPerThousandTokens: number;
    /** Slot time on reclaimable servers, as a share of the used slot time. */
    readonly cheapShare: number;
    /** Maximum number of requests beyond the slots of an engine. */
    readonly overrun: number;
    /** Mean number of requests waiting inside engines. */
    readonly meanOverrun: number;
    /** Mean number of summaries per second that a node sends to each other node. */
    readonly summariesPerSecond: number;
    /** Number of retries and moves, as a share of first attempts. */
    readonly retryShare: number;
    /** Number of refusals by kind. */
    readonly refusals: Readonly<Record<string, number>>;
    /** Number of retries by type, with moves to another server as `move`. */
    readonly retries: Readonly<Record<string, number>>;
    /** Refusals of a higher tier while a lower tier got slots beyond its floor. */
    readonly tierViolations: number;
    /**
     * Time until the pool's slots were in full use again, in milliseconds, measured from shortly after a
     * fault; `Infinity` when they never were, undefined when the run doesn't measure it.
     */
    readonly strandedMs: number | undefined;
}

/**
 * Divides an amount among customers by max-min fairness.
 *
 * @param demands - Demand by customer.
 * @param amount - Amount to divide.
 * @returns Fair share of each customer, which never exceeds its demand.
 */
export function computeMaxMinShares(
    demands: ReadonlyMap<string, number>,
    amount: number,
): Map<string, number> {
    const shares = new Map<string, number>();
    const sorted = [...demands].toSorted(([, left], [, right]) => left - right);
    let remaining = amount;
    sorted.forEach(([customer, demand], index) => {
        const share = Math.min(demand, remaining / (sorted.length - index));
        shares.set(customer, share);
        remaining -= share;
    });
    return shares;
}
