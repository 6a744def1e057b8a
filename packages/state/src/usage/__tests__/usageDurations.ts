/**
 * Durations of simulated nodes that record and report usage.
 *
 * @packageDocumentation
 */
import type { LeaseTiming } from "@pimentocleat/policy";

/** Durations of the usage duty, in milliseconds. */
export interface UsageDurations {
    readonly windowMs: number;
    /** Minimum time from the end of a window until it is sealed. */
    readonly graceMs: number;
    /** Interval between two writes of usage. */
    readonly flushIntervalMs: number;
    /** Interval at which the reporter checks whether a window is due. */
    readonly stepMs: number;
    /** Maximum time that a report is in flight. */
    readonly wireBoundMs: number;
    /** Durations that only nodes of the users' platform have. */
    readonly users?: {
        /** Time from the end of a window until its report is due. */
        readonly dueMs: number;
        /** Time from the end of a window until it is sealed even if the store failed recently. */
        readonly maximumSealDelayMs: number;
        /** Mean delay from the end of a window until its last counts are written. */
        readonly finalWriteDelayMs: number;
        /** Delay before counts are written again after a failure. */
        readonly failedWriteRetryMs: number;
    };
}

/** Durations of tests that are not about a certain platform. */
export const defaultDurations: UsageDurations = {
    windowMs: 10_000,
    graceMs: 6_000,
    flushIntervalMs: 3_000,
    stepMs: 1_000,
    wireBoundMs: 500,
};

/** Time during which a duty must not return to an earlier machine on the users' platform, in milliseconds. */
export const usersLeaseMs = 3_000;
const usersLeaseDurationMs = 4_200;

/** Timing of leases on the users' platform, as the gateway derives it from {@link usersLeaseMs}. */
export const usersLeaseTiming: LeaseTiming = {
    durationMs: usersLeaseDurationMs,
    marginMs: 630,
    renewIntervalMs: 1_200,
};

/** Time after the start of a node in which it acquires no lease on the users' platform, in milliseconds. */
export const usersStartDelayMs = 4_500;
/** Interval at which a node without a lease polls the leases on the users' platform, in milliseconds. */
export const usersWatchIntervalMs = 2_000;
/** Delay before a takeover for each node that is preferred on the users' platform, in milliseconds. */
export const usersPreferenceDelayMs = 250;
/** Number of windows for which rows of reported windows are kept on the users' platform. */
export const usersRetainedWindows = 6;

/** Durations of the gateway's usage duty on the users' platform. */
export const usersDurations: UsageDurations = {
    windowMs: 5_000,
    graceMs: 1_700,
    flushIntervalMs: 2_400,
    stepMs: 500,
    wireBoundMs: 700,
    users: {
        dueMs: 10_000,
        maximumSealDelayMs: 8_200,
        finalWriteDelayMs: 350,
        failedWriteRetryMs: 400,
    },
};
