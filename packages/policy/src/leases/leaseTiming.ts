/**
 * Computes when a lease is valid for its holder, and when another node may take it over.
 *
 * All times are monotonic milliseconds of the host that decides; clocks of different hosts are never compared.
 *
 * @packageDocumentation
 */

/** Durations of a lease, in milliseconds; the same on all nodes. */
export interface LeaseTiming {
    readonly durationMs: number;
    /**
     * Subtracted from the holder's validity and added to the observer's wait. The clocks of two hosts may
     * drift apart by up to twice this margin over one duration.
     */
    readonly marginMs: number;
    readonly renewIntervalMs: number;
}

/** Default lease timing. */
export const defaultLeaseTiming: LeaseTiming = { durationMs: 9_000, marginMs: 1_000, renewIntervalMs: 3_000 };

/** The state of a lease as seen by an observer. */
export interface ObservedLease {
    /** Version of the lease's row; 0 when absent. */
    readonly version: number;
    /** Whether the holder released the lease. */
    readonly released: boolean;
    /** Monotonic time at which this observer first received this version, in milliseconds. */
    readonly firstSeenMs: number;
}

/**
 * Updates an observation with a read of the lease.
 *
 * @param previous - The earlier observation, if any.
 * @param seen - The version and state that were read.
 * @param nowMs - Time after the read was answered.
 * @returns The new observation; an unchanged version keeps the time of its first observation.
 */
export function updateObservation(
    previous: ObservedLease | undefined,
    seen: Pick<ObservedLease, "version" | "released">,
    nowMs: number,
): ObservedLease {
    return previous?.version === seen.version ? previous : { ...seen, firstSeenMs: nowMs };
}

/**
 * Computes when an observer may try to take a lease over, provided that the lease doesn't change before.
 *
 * @param observed - The observer's own observation.
 * @param timing - The lease's durations.
 * @param delayMs - Additional wait of a node that is not the preferred holder, in milliseconds.
 * @returns The observer's time at which the holder's validity has ended on every clock whose drift is
 * within the margin.
 */
export function computeTakeoverMs(observed: ObservedLease, timing: LeaseTiming, delayMs: number): number {
    const isFree = observed.version === 0 || observed.released;
    const expiryWaitMs = isFree ? 0 : timing.durationMs + timing.marginMs;
    return observed.firstSeenMs + expiryWaitMs + delayMs;
}

/**
 * Decides whether an observer may try to take a lease over.
 *
 * @param observed - The observer's own observation.
 * @param nowMs - The observer's time.
 * @param timing - The lease's durations.
 * @param delayMs - Additional wait of a node that is not the preferred holder, in milliseconds.
 * @returns True when the holder's validity has ended on every clock whose drift is within the margin.
 */
export function isTakeoverDue(
    observed: ObservedLease,
    nowMs: number,
    timing: LeaseTiming,
    delayMs: number,
): boolean {
    return nowMs >= computeTakeoverMs(observed, timing, delayMs);
}

/**
 * Computes the time until which a holder may act.
 *
 * @param sentMs - Time before the acquisition or renewal was sent.
 * @param timing - The lease's durations.
 * @returns The end of the validity, exclusive.
 */
export function computeValidUntilMs(sentMs: number, timing: LeaseTiming): number {
    return sentMs + timing.durationMs - timing.marginMs;
}

/** Traits of a receiver of orders that determine when a new holder may send to it. */
export interface ReceiverTraits {
    /** Whether the receiver refuses orders with an outdated fencing number. */
    readonly checksFencing: boolean;
    /** Maximum time from sending an order to its arrival, in milliseconds. */
    readonly wireBoundMs: number;
}

/**
 * Computes when a new holder may send its first order.
 *
 * @param acquiredMs - Time after the acquisition was confirmed.
 * @param receiver - The receiver's traits.
 * @param timing - The lease's durations.
 * @returns The acquisition time for a receiver that checks fencing numbers; otherwise the time by which any
 * order that an earlier holder sent while its lease was valid must have arrived.
 */
export function computeFirstSendMs(
    acquiredMs: number,
    receiver: ReceiverTraits,
    timing: LeaseTiming,
): number {
    return receiver.checksFencing ? acquiredMs : acquiredMs + receiver.wireBoundMs + timing.marginMs;
}
