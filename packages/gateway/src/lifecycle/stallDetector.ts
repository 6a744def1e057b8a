/**
 * Notes when this host stood still or its clock was stepped, which otherwise shows only as a gap in its log.
 *
 * @packageDocumentation
 */
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";

/** Time between two looks at the clocks, in milliseconds. */
const checkIntervalMs = 500;
/** A shorter delay is usual on a busy host, in milliseconds; far below the bounds of requests. */
const toleratedDelayMs = 400;

/**
 * Compares what passed on the host's clocks with what should have passed. A host that was suspended finds its wall
 * clock ahead of its monotonic clock, and so does one whose wall clock was stepped forward; a process that was
 * stopped, or kept from running, finds both ahead.
 */
export class StallDetector {
    /**
     * @param clock - The host's own clocks.
     * @param logger - Receives the notes.
     */
    constructor(
        private readonly clock: WaitingClock,
        private readonly logger: Logger,
    ) {}

    /**
     * Looks regularly until the signal is aborted.
     *
     * @param signal - Ends the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const monotonicMs = this.clock.monotonicMs();
            const wallMs = this.clock.wallMs();
            await this.clock.wait(checkIntervalMs, signal);
            if (!signal.aborted) {
                this.recordElapsed(this.clock.monotonicMs() - monotonicMs, this.clock.wallMs() - wallMs);
            }
        }
    }

    private recordElapsed(monotonicMs: number, wallMs: number): void {
        if (monotonicMs > checkIntervalMs + toleratedDelayMs) {
            this.logger.writeEvent("nodeStalled", { passedMs: Math.round(monotonicMs) });
        }
        const aheadMs = Math.round(wallMs - monotonicMs);
        if (Math.abs(aheadMs) > toleratedDelayMs) {
            this.logger.writeEvent("clockJumped", { aheadMs });
        }
    }
}
