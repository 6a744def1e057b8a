/**
 * Runs a step periodically.
 *
 * @packageDocumentation
 */
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";

/** Options of {@link runEvery}. */
export interface RepeatedStepOptions {
    /** Mean time between the end of a step and the start of the next, in milliseconds. */
    readonly intervalMs: number;
    readonly clock: WaitingClock;
    readonly random: () => number;
    readonly logger: Logger;
    /** Stops the repetition. */
    readonly signal: AbortSignal;
}

/** Maximum deviation of each interval, as a share of it, so that nodes do not act at the same time. */
const jitterShare = 0.25;

/**
 * Runs a step periodically, with jitter. Steps never overlap. A failed step is logged and does not end the repetition.
 *
 * @param options - The interval, the environment and the signal that stops the repetition.
 * @param step - The step.
 */
export async function runEvery(options: RepeatedStepOptions, step: () => Promise<unknown>): Promise<void> {
    const { intervalMs, clock, random, logger, signal } = options;
    while (!signal.aborted) {
        await clock.wait(intervalMs * (1 - jitterShare + 2 * jitterShare * random()), signal);
        if (!signal.aborted) {
            await step().catch((error: unknown) => {
                logger.writeEvent("dutyStepFailed", { reason: String(error) });
            });
        }
    }
}
