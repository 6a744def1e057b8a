/**
 * Measures whether each class gets its floor in every 10 s window throughout which it has waiting
 * requests.
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
    /** Minimum number of waiting requests in each step. */
    readonly minimumWaiting: number[];
}

/** Counts the starts and waiting requests of each class in steps of 500 ms. */
export class FloorMonitor {
    private readonly classes = new Map<string, ClassSteps>();
    private readonly totalStarts: number[] = [];

    /**
     * @param classes - The classes.
     * @param durationMs - Duration of the measurement, in milliseconds; windows that end later are ignored.
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
     * Records that a request started.
     *
     * @param requestClass - Class of the request.
     * @param nowMs - Time of the start, in milliseconds.
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
     * Records how many requests of a class wait.
     *
     * @param requestClass - The class.
     * @param waiting - Number of waiting requests.
     * @param nowMs - Time of the reading, in milliseconds.
     */
    recordWaiting(requestClass: string, waiting: number, nowMs: number): void {
        const steps = this.classes.get(requestClass);
        const step = Math.floor(nowMs / stepMs);
        if (steps !== undefined) {
            steps.minimumWaiting[step] = Math.min(steps.minimumWaiting[step] ?? Infinity, waiting);
        }
    }

    /**
     * Computes how much of its floor a class got in the worst window. The floor in a window is the
     * class's `floorShare` of all starts in it, rounded down, but at least one start.
     *
     * @param requestClass - The class.
     * @returns Minimum ratio of the class's starts to its floor; undefined when there is no window
     * throughout which requests of the class waited.
     */
    computeMinimumShare(requestClass: string): number | undefined {
        const steps = this.classes.get(requestClass);
        const last = Math.floor(this.durationMs / stepMs) - stepsPerWindow;
        let minimumShare: number | undefined;
        for (let step = 0; steps !== undefined && step <= last; step += 1) {
            const waiting = steps.minimumWaiting.slice(step, step + stepsPerWindow);
            if (waiting.length === stepsPerWindow && waiting.every((count) => count > 0)) {
                const floor = Math.max(1, Math.floor(steps.floorShare * sumWindow(this.totalStarts, step)));
                minimumShare = Math.min(minimumShare ?? Infinity, sumWindow(steps.starts, step) / floor);
            }
        }
        return minimumShare;
    }
}

function sumWindow(counts: readonly number[], step: number): number {
    let sum = 0;
    for (let index = step; index < step + stepsPerWindow; index += 1) {
        sum += counts[index] ?? 0;
    }
    return sum;
}
