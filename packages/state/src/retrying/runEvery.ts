/**
 * Runs a step again and again.
 *
 * @packageDocumentation
 */
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";

/** What {@link runEvery} runs in. */
export interface RepeatedStepOptions {
    /** Mean time between the end of a step and the start of the next, in milliseconds. */
    readonly intervalMs: number;
    readonly clock: WaitingClock;
    readonly random: () => number;
    readonly logger: Logger;
    /** Ends the repetition. */
    readonly signal: AbortSignal;
}

/** Each wait is up to this share longer or shorter, so that nodes do not act at the same moment. */
const jitterShare = 0.25;

/**
 * Runs a step again and again, with jitter; steps never overlap, and one that fails is logged.
 *
 * @param options - Interval, surroundings and end.
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
