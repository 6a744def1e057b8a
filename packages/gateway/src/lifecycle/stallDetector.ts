/**
 * Detects that this process was stalled, its host suspended or its clock stepped. Without it, such an event
 * is visible only as a gap in the log.
 *
 * @packageDocumentation
 */
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";

/** Interval between two readings of the clocks, in milliseconds. */
const checkIntervalMs = 500;
/** Delays up to this are normal on a busy host, in milliseconds; far below the time limits of requests. */
const toleratedDelayMs = 400;

/**
 * Compares the time that elapsed on the host's clocks with the expected interval. After a suspension of the host or
 * a forward step of the wall clock, the wall clock is ahead of the monotonic clock. After the process was stopped or
 * not scheduled, both clocks are ahead of the expected interval.
 */
export class StallDetector {
    /**
     * @param clock - Clocks of the host.
     * @param logger - Records stalls and clock steps.
     * @param onStall - Called after each of them.
     */
    constructor(
        private readonly clock: WaitingClock,
        private readonly logger: Logger,
        private readonly onStall: () => void = () => undefined,
    ) {}

    /**
     * Checks the clocks at regular intervals until the signal is aborted.
     *
     * @param signal - Stops the task.
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
            this.onStall();
        }
        const aheadMs = Math.round(wallMs - monotonicMs);
        if (Math.abs(aheadMs) > toleratedDelayMs) {
            this.logger.writeEvent("clockJumped", { aheadMs });
            this.onStall();
        }
    }
}
