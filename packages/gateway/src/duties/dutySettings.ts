/**
 * Durations that control a node's duties.
 *
 * @packageDocumentation
 */
import type { LeaseTiming } from "@pimentocleat/policy";

/** Durations that control a node's duties, in milliseconds. */
export interface DutySettings {
    readonly leaseTiming: LeaseTiming;
    /** Timeout of one call to the store. */
    readonly callTimeoutMs: number;
    /** Maximum time for which an order or a report may be in transit. */
    readonly wireBoundMs: number;
    /**
     * Time after the start of a process during which it acquires no lease, so that no duty returns to a restarted host
     * at once.
     */
    readonly startDelayMs: number;
    /** Interval at which a node without a lease polls the leases. */
    readonly watchIntervalMs: number;
    /** Additional delay before a takeover for each node that ranks above this one. */
    readonly preferenceDelayMs: number;
    /** Interval at which a duty's pending work is checked. */
    readonly stepMs: number;
    /** Interval between two writes of usage. */
    readonly usageFlushMs: number;
    /**
     * Time from the end of a usage window until it is sealed. It is longer than a flush plus a slow response of the
     * store.
     */
    readonly usageGraceMs: number;
}

/** Duration of a lease, as a multiple of the time during which a duty must not return to an earlier holder. */
const leaseFactor = 1.4;
/** Final part of a lease's duration in which the holder no longer acts, as a share of the duration. */
const marginShare = 0.15;
/** Number of renewals within the duration of a lease. */
const renewalsPerLease = 3.5;

/**
 * Builds the durations of a node's duties.
 *
 * @param leaseMs - Time during which a duty must not return to an earlier holder, in milliseconds.
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
