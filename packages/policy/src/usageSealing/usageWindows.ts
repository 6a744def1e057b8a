/**
 * Arithmetic of usage windows.
 *
 * @packageDocumentation
 */

/** What one customer used; each figure only grows within a window of one node. */
export type UsageCounters = {
    readonly requests: number;
    readonly promptTokens: number;
    readonly completionTokens: number;
};

/** Usage by customer. */
export type UsageByCustomer = Readonly<Record<string, UsageCounters>>;

type CombineFigures = (left: number, right: number) => number;

const noUsage: UsageCounters = { requests: 0, promptTokens: 0, completionTokens: 0 };

/**
 * Computes the window that a moment belongs to.
 *
 * @param wallMs - Milliseconds since the Unix epoch.
 * @param windowMs - Length of a window, in milliseconds.
 * @returns Start of the window, in milliseconds since the Unix epoch.
 */
export function computeWindowStartMs(wallMs: number, windowMs: number): number {
    return Math.floor(wallMs / windowMs) * windowMs;
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
 * @returns The larger figure of each counter.
 */
export function mergeUsage(left: UsageByCustomer, right: UsageByCustomer): UsageByCustomer {
    return mergeCounters(left, right, Math.max);
}

/**
 * Computes what one usage has beyond another.
 *
 * @param whole - The larger usage.
 * @param part - What is taken off.
 * @returns The difference, without customers that have none.
 */
export function computeRemainder(whole: UsageByCustomer, part: UsageByCustomer): UsageByCustomer {
    const difference = mergeCounters(whole, part, (one, other) => Math.max(0, one - other));
    return Object.fromEntries(Object.entries(difference).filter(([, counters]) => hasUsage(counters)));
}

/**
 * Tells whether a usage is empty.
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
    combine: CombineFigures,
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
