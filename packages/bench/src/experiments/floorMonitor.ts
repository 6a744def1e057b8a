/**
 * Measures whether each class gets its floor in every 10 s window in which it always has demand.
 *
 * @packageDocumentation
 */
import type { RequestClass } from "@pimentocleat/schema";

const windowMs = 10_000;
const stepMs = 500;
const stepsPerWindow = windowMs / stepMs;

interface ClassSteps {
    readonly floorShare: number;
    readonly starts: number[];
    /** Least number of waiting requests in each step. */
    readonly minimumWaiting: number[];
}

/** Counts starts and demand by step. */
export class FloorMonitor {
    private readonly classes = new Map<string, ClassSteps>();
    private readonly totalStarts: number[] = [];

    /**
     * @param classes - The classes.
     * @param durationMs - End of the measurement.
     */
    constructor(
        classes: readonly RequestClass[],
        private readonly durationMs: number,
    ) {
        for (const { name, floorShare } of classes) {
            this.classes.set(name, { floorShare, starts: [], minimumWaiting: [] });
        }
    }

    /**
     * @param requestClass - Class of a start.
     * @param nowMs - When.
     */
    recordStart(requestClass: string, nowMs: number): void {
        const step = Math.floor(nowMs / stepMs);
        this.totalStarts[step] = (this.totalStarts[step] ?? 0) + 1;
        const steps = this.classes.get(requestClass);
        if (steps !== undefined) {
            steps.starts[step] = (steps.starts[step] ?? 0) + 1;
        }
    }

    /**
     * @param requestClass - A class.
     * @param waiting - Its waiting requests.
     * @param nowMs - When.
     */
    recordWaiting(requestClass: string, waiting: number, nowMs: number): void {
        const steps = this.classes.get(requestClass);
        const step = Math.floor(nowMs / stepMs);
        if (steps !== undefined) {
            steps.minimumWaiting[step] = Math.min(steps.minimumWaiting[step] ?? Infinity, waiting);
        }
    }

    /**
     * @param requestClass - A class.
     * @returns Least ratio of starts to the floor, at least one start being the floor; undefined when
     * no window had demand throughout.
     */
    computeMinimumShare(requestClass: string): number | undefined {
        const steps = this.classes.get(requestClass);
        const last = Math.floor(this.durationMs / stepMs) - stepsPerWindow;
        let least: number | undefined;
        for (let step = 0; steps !== undefined && step <= last; step += 1) {
            const waiting = steps.minimumWaiting.slice(step, step + stepsPerWindow);
            if (waiting.length === stepsPerWindow && waiting.every((count) => count > 0)) {
                const floor = Math.max(
                    1,
                    Math.floor(steps.floorShare * computeStepTotal(this.totalStarts, step)),
                );
                least = Math.min(least ?? Infinity, computeStepTotal(steps.starts, step) / floor);
            }
        }
        return least;
    }
}

function computeStepTotal(counts: readonly number[], step: number): number {
    let sum = 0;
    for (let index = step; index < step + stepsPerWindow; index += 1) {
        sum += counts[index] ?? 0;
    }
    return sum;
}
