/**
 * When a lease is valid for its holder, and when another may take it over.
 *
 * All times are monotonic milliseconds of the host that decides; clocks of two hosts are never compared.
 *
 * @packageDocumentation
 */

/** Durations of a lease, in milliseconds; the same on all nodes. */
export interface LeaseTiming {
    readonly durationMs: number;
    /**
     * Taken off the holder's validity and added to the observer's wait. Two clocks may differ in rate by
     * twice this margin over one duration.
     */
    readonly marginMs: number;
    readonly renewIntervalMs: number;
}

/** Timing that holds unless overridden. */
export const defaultLeaseTiming: LeaseTiming = { durationMs: 9_000, marginMs: 1_000, renewIntervalMs: 3_000 };

/** What an observer knows of a lease. */
export interface ObservedLease {
    /** Version of the lease's row; 0 when absent. */
    readonly version: number;
    /** Whether the holder gave it up. */
    readonly released: boolean;
    /** When this observer first had an answer with this version. */
    readonly firstSeenMs: number;
}

/**
 * Notes a sighting of a lease.
 *
 * @param previous - What was known before.
 * @param seen - The version and state now read.
 * @param nowMs - Time after the answer arrived.
 * @returns What is known now; an unchanged version keeps its first sighting.
 */
export function updateObservation(
    previous: ObservedLease | undefined,
    seen: Pick<ObservedLease, "version" | "released">,
    nowMs: number,
): ObservedLease {
    return previous?.version === seen.version ? previous : { ...seen, firstSeenMs: nowMs };
}

/**
 * Computes from when an observer may try to take a lease over, if it does not change before.
 *
 * @param observed - What the observer has seen itself.
 * @param timing - The lease's durations.
 * @param delayMs - Extra wait of a node that is not the preferred holder.
 * @returns The observer's time at which the holder's validity has ended on every clock within the margin.
 */
export function computeTakeoverMs(observed: ObservedLease, timing: LeaseTiming, delayMs: number): number {
    const isFree = observed.version === 0 || observed.released;
    const lapseMs = isFree ? 0 : timing.durationMs + timing.marginMs;
    return observed.firstSeenMs + lapseMs + delayMs;
}

/**
 * Decides whether an observer may try to take a lease over.
 *
 * @param observed - What the observer has seen itself.
 * @param nowMs - The observer's time.
 * @param timing - The lease's durations.
 * @param delayMs - Extra wait of a node that is not the preferred holder.
 * @returns True when the holder's validity has ended on every clock within the margin.
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
 * Computes until when a holder may act.
 *
 * @param sentMs - Time before the acquisition or renewal was sent.
 * @param timing - The lease's durations.
 * @returns End of the validity, exclusive.
 */
export function computeValidUntilMs(sentMs: number, timing: LeaseTiming): number {
    return sentMs + timing.durationMs - timing.marginMs;
}

/** What a new holder must know of a receiver of its orders. */
export interface ReceiverTraits {
    /** Whether the receiver refuses an old fencing number. */
    readonly checksFencing: boolean;
    /** Longest time from a send to its arrival, in milliseconds. */
    readonly wireBoundMs: number;
}

/**
 * Computes when a new holder may send its first order.
 *
 * @param acquiredMs - Time after the acquisition was known.
 * @param receiver - The receiver's traits.
 * @param timing - The lease's durations.
 * @returns At once for a receiver that checks the number; otherwise after the last order of an earlier
 * holder, sent while it was valid, must have arrived.
 */
export function computeFirstSendMs(
    acquiredMs: number,
    receiver: ReceiverTraits,
    timing: LeaseTiming,
): number {
    return receiver.checksFencing ? acquiredMs : acquiredMs + receiver.wireBoundMs + timing.marginMs;
}
