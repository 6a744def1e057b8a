/**
 * The measures of a run, in one form for experiments, tests and live nodes.
 *
 * @packageDocumentation
 */

/** What became of the requests of one class. */
export interface ClassMeasures {
    offered: number;
    /** Whole answers within the class's targets. */
    attained: number;
    late: number;
    refused: number;
    failed: number;
    /** Slot starts that the class got by its floor. */
    floorStarts: number;
    /** Least starts, as a share of its floor, in a 10 s window in which it always had demand. */
    leastFloorShare: number | undefined;
}

/** Measures of one policy in one run. */
export interface RunMeasures {
    readonly policy: string;
    readonly classes: Readonly<Record<string, ClassMeasures>>;
    /** Slot time of requests that met their targets, as a share of the slot time that there was. */
    readonly goodput: number;
    /** Slot time in use, as a share of the slot time that there was. */
    readonly utilization: number;
    /** Tokens generated and thrown away, as a share of all. */
    readonly wastedTokens: number;
    /** Least served share of a customer against its max-min fair share. */
    readonly worstCustomer: number;
    /** Cost of the slot time used for 1,000 tokens of whole answers. */
    readonly costPerThousandTokens: number;
    /** Share of slot time on reclaimable servers. */
    readonly cheapShare: number;
    /** Greatest number of requests beyond an engine's slots. */
    readonly overrun: number;
    /** Mean number of requests waiting inside engines. */
    readonly meanOverrun: number;
    /** Summaries that a node sends to each other node a second. */
    readonly summariesPerSecond: number;
    /** Retries as a share of first tries. */
    readonly retryShare: number;
    readonly refusals: Readonly<Record<string, number>>;
    readonly retries: Readonly<Record<string, number>>;
    /** Refusals of a higher tier while a lower one got slots outside its floor. */
    readonly tierViolations: number;
    /** Longest time from a fault until the pool's slots were in full use again, in milliseconds. */
    readonly strandedMs: number | undefined;
}

/**
 * Divides an amount by max-min fairness.
 *
 * @param demands - Demand by customer.
 * @param amount - What there is to divide.
 * @returns Each customer's fair share; never above its demand.
 */
export function computeMaxMinShares(
    demands: ReadonlyMap<string, number>,
    amount: number,
): Map<string, number> {
    const shares = new Map<string, number>();
    const sorted = [...demands].toSorted(([, left], [, right]) => left - right);
    let left = amount;
    sorted.forEach(([customer, demand], index) => {
        const share = Math.min(demand, left / (sorted.length - index));
        shares.set(customer, share);
        left -= share;
    });
    return shares;
}
