/**
 * The time by which usage windows are sealed: the store's steady clock plus an offset that is itself kept in the store.
 *
 * @packageDocumentation
 */
/** The offsets between wall time and the store's clock, as the store keeps them. */
export interface WindowClock {
    /** Wall time minus the store's time, in milliseconds; windows are sealed by it. */
    readonly offsetMs: number;
    /** Offset that replaces the other one once it has been in the store for long enough, in milliseconds. */
    readonly nextOffsetMs?: number | undefined;
    /** Time of the store at which {@link WindowClock.nextOffsetMs} was proposed, in milliseconds. */
    readonly nextSinceMs?: number | undefined;
}

/** One reading of both clocks. */
export interface ClockReading {
    /** Wall time of the reading host, in milliseconds since the Unix epoch. */
    readonly wallMs: number;
    /** Time of the store's clock, in milliseconds from an arbitrary start. */
    readonly steadyMs: number;
}

/**
 * Time for which another offset is in the store before windows are sealed by it, in milliseconds. A copy from which the
 * store comes back is younger, so that it names every offset by which a window was sealed and reported.
 */
export const offsetSettleMs = 12_000;
/** Difference of two offsets that needs no new one, in milliseconds; it covers the transit of an answer. */
const toleratedDifferenceMs = 250;
/**
 * Difference between the two ways to date an era beyond which the store's clock has started anew and is not used for
 * that, in milliseconds.
 */
const maximumClockErrorMs = 60_000;

/**
 * Compares the offsets in the store with a host's clock, and replaces them if they differ for long enough.
 *
 * @param clock - The offsets in the store.
 * @param reading - The host's wall time and the store's time.
 * @returns The offsets to store; the same object when nothing changes.
 */
export function updateWindowClock(clock: WindowClock, { wallMs, steadyMs }: ClockReading): WindowClock {
    const { offsetMs, nextOffsetMs, nextSinceMs = steadyMs } = clock;
    const measuredMs = wallMs - steadyMs;
    if (isNear(offsetMs, measuredMs)) {
        return nextOffsetMs === undefined ? clock : { offsetMs };
    }
    if (!isNear(nextOffsetMs, measuredMs)) {
        return { offsetMs, nextOffsetMs: measuredMs, nextSinceMs: steadyMs };
    }
    return steadyMs - nextSinceMs >= offsetSettleMs ? { offsetMs: nextOffsetMs ?? measuredMs } : clock;
}

/**
 * Computes the time by which windows are sealed. It is not ahead of the host's clock either, in case the store's clock
 * has started anew.
 *
 * @param clock - The offsets in the store.
 * @param reading - The host's wall time and the store's time.
 * @returns The time in milliseconds since the Unix epoch.
 */
export function computeSealingTimeMs({ offsetMs }: WindowClock, { wallMs, steadyMs }: ClockReading): number {
    return Math.min(wallMs, steadyMs + offsetMs);
}

/**
 * Computes the latest time that a reporter of an earlier era may have taken for the present when the era began.
 *
 * @param clocks - The offsets that the copy names.
 * @param reading - Time of this host when it first knew of the era, and the store's time then or later.
 * @returns The time in milliseconds since the Unix epoch, not before that of this host.
 */
export function computeLatestTimeMs(
    clocks: readonly WindowClock[],
    { wallMs, steadyMs }: ClockReading,
): number {
    const timesMs = clocks
        .flatMap(({ offsetMs, nextOffsetMs }) => [offsetMs, nextOffsetMs])
        .flatMap((offsetMs) => (offsetMs === undefined ? [] : [steadyMs + offsetMs]))
        .filter((timeMs) => timeMs - wallMs <= maximumClockErrorMs);
    return Math.max(wallMs, ...timesMs);
}

function isNear(offsetMs: number | undefined, measuredMs: number): boolean {
    return offsetMs !== undefined && Math.abs(offsetMs - measuredMs) <= toleratedDifferenceMs;
}
