/**
 * A clock by which a holder's own leases end in time, also when its host was suspended.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** Difference of the two clocks' rates that is not a suspension, in milliseconds. */
const toleratedDriftMs = 150;

/**
 * Monotonic time that also counts the time in which the host was suspended. A suspended host's monotonic clock
 * stands still while the wall clock goes on; a step of the wall clock looks alike, and giving a lease up too
 * early is safe. Not for deciding that another holder's lease has ended.
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
