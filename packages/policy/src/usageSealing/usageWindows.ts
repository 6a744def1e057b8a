/**
 * Computes usage windows and combines the usage recorded in them.
 *
 * @packageDocumentation
 */

/** Usage of one customer; within a window of one node, each counter only increases. */
export type UsageCounters = {
    readonly requests: number;
    readonly promptTokens: number;
    readonly completionTokens: number;
};

/** Usage by customer. */
export type UsageByCustomer = Readonly<Record<string, UsageCounters>>;

type CombineCounters = (left: number, right: number) => number;

const noUsage: UsageCounters = { requests: 0, promptTokens: 0, completionTokens: 0 };

/**
 * Computes the start of the window that contains a time.
 *
 * @param wallMs - Wall time, in milliseconds since the Unix epoch.
 * @param windowMs - Length of a window, in milliseconds.
 * @returns Start of the window, in milliseconds since the Unix epoch.
 */
export function computeWindowStartMs(wallMs: number, windowMs: number): number {
    return Math.floor(wallMs / windowMs) * windowMs;
}

/**
 * Computes the first window that no node can have reported before a time.
 *
 * @param wallMs - The time, in milliseconds since the Unix epoch.
 * @param windowMs - Length of a window, in milliseconds.
 * @param graceMs - Minimum time from the end of a window to its report, in milliseconds.
 * @returns Start of the window, in milliseconds since the Unix epoch; later by one window than with exact clocks, so
 * that a reporter whose clock was ahead by less than that is allowed for.
 */
export function computeUnreportedStartMs(wallMs: number, windowMs: number, graceMs: number): number {
    return computeWindowStartMs(wallMs - graceMs, windowMs) + windowMs;
}

/**
 * Adds two usages.
 *
 * @param left - One usage.
 * @param right - The other.
 * @returns The sum by customer.
 */
export function addUsage(left: UsageByCustomer, right: UsageByCustomer): UsageByCustomer {
    return mergeCounters(left, right, (one, other) => one + other);
}

/**
 * Merges two copies of the same cumulative counters.
 *
 * @param left - One copy.
 * @param right - The other.
 * @returns The larger value of each counter.
 */
export function mergeUsage(left: UsageByCustomer, right: UsageByCustomer): UsageByCustomer {
    return mergeCounters(left, right, Math.max);
}

/**
 * Computes the part of a usage that exceeds another usage.
 *
 * @param whole - The larger usage.
 * @param part - The usage to subtract.
 * @returns The difference, without customers whose difference is zero.
 */
export function computeRemainder(whole: UsageByCustomer, part: UsageByCustomer): UsageByCustomer {
    const difference = mergeCounters(whole, part, (one, other) => Math.max(0, one - other));
    return Object.fromEntries(Object.entries(difference).filter(([, counters]) => hasUsage(counters)));
}

/**
 * Returns whether a usage is empty.
 *
 * @param usage - The usage.
 * @returns True when no customer used anything.
 */
export function isEmptyUsage(usage: UsageByCustomer): boolean {
    return !Object.values(usage).some(hasUsage);
}

function hasUsage(counters: UsageCounters): boolean {
    return counters.requests > 0 || counters.promptTokens > 0 || counters.completionTokens > 0;
}

function mergeCounters(
    left: UsageByCustomer,
    right: UsageByCustomer,
    combine: CombineCounters,
): UsageByCustomer {
    const customers = new Set([...Object.keys(left), ...Object.keys(right)]);
    const entries = [...customers].map((customer) => {
        const one = left[customer] ?? noUsage;
        const other = right[customer] ?? noUsage;
        return [
            customer,
            {
                requests: combine(one.requests, other.requests),
                promptTokens: combine(one.promptTokens, other.promptTokens),
                completionTokens: combine(one.completionTokens, other.completionTokens),
            },
        ] as const;
    });
    return Object.fromEntries(entries);
}
