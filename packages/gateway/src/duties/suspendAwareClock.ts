/**
 * A clock with which a holder's own leases expire in time even when its host was suspended.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/**
 * Maximum difference between the times that passed on the two clocks since the last reading that does not count as a
 * suspension, in milliseconds; it allows for the clocks' different rates.
 */
const toleratedDriftMs = 150;

/**
 * Provides monotonic time that includes the time during which the host was suspended. The monotonic clock of a
 * suspended host stops while its wall clock continues. A forward step of the wall clock looks the same; it makes
 * a lease expire too early, which is safe. Do not use this clock to decide that another holder's lease has expired.
 */
export class SuspendAwareClock implements Clock {
    private offsetMs = 0;
    private lastMonotonicMs: number;
    private lastWallMs: number;

    /** @param clock - The host's clock. */
    constructor(private readonly clock: Clock) {
        this.lastMonotonicMs = clock.monotonicMs();
        this.lastWallMs = clock.wallMs();
    }

    monotonicMs(): number {
        const monotonicMs = this.clock.monotonicMs();
        const wallMs = this.clock.wallMs();
        const aheadMs = wallMs - this.lastWallMs - (monotonicMs - this.lastMonotonicMs);
        if (aheadMs > toleratedDriftMs) {
            this.offsetMs += aheadMs;
        }
        this.lastMonotonicMs = monotonicMs;
        this.lastWallMs = wallMs;
        return monotonicMs + this.offsetMs;
    }

    wallMs(): number {
        return this.clock.wallMs();
    }
}
