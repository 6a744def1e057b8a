/**
 * Durations of the duties of a node.
 *
 * @packageDocumentation
 */
import type { LeaseTiming } from "@pimentocleat/policy";

/** Durations of the duties, in milliseconds. */
export interface DutySettings {
    readonly leaseTiming: LeaseTiming;
    /** Bound on one call to the store. */
    readonly callTimeoutMs: number;
    /** Longest time of an order or a report on the wire. */
    readonly wireBoundMs: number;
    /** How long after the start of a process it takes no duty, so that none returns to a restarted host at once. */
    readonly startDelayMs: number;
    /** Time between two looks at the leases of a node that holds none. */
    readonly watchIntervalMs: number;
    /** Extra wait before a takeover for each node that is preferred over this one. */
    readonly preferenceDelayMs: number;
    /** Time between two looks at what is due. */
    readonly stepMs: number;
    /** Time between two writes of usage. */
    readonly usageFlushMs: number;
    /** How long after its end a usage window is sealed; longer than a flush and a slow answer of the store. */
    readonly usageGraceMs: number;
}

/** Duration of a lease, as a multiple of the time in which no duty may return to an earlier holder. */
const leaseFactor = 1.4;
/** Share of a lease's duration in which the holder no longer acts. */
const marginShare = 0.15;
/** Renewals in the duration of a lease. */
const renewalsPerLease = 3.5;

/**
 * Builds the durations.
 *
 * @param leaseMs - Time in which a duty must not return to an earlier holder.
 * @returns The durations.
 */
export function buildDutySettings(leaseMs: number): DutySettings {
    const durationMs = leaseMs * leaseFactor;
    return {
        leaseTiming: {
            durationMs,
            marginMs: durationMs * marginShare,
            renewIntervalMs: durationMs / renewalsPerLease,
        },
        callTimeoutMs: 1_000,
        wireBoundMs: 700,
        startDelayMs: leaseMs + 1_500,
        watchIntervalMs: 2_000,
        preferenceDelayMs: 250,
        stepMs: 500,
        usageFlushMs: 2_400,
        usageGraceMs: 1_700,
    };
}
