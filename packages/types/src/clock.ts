/**
 * Clocks, the only source of time in the product. All times are in milliseconds.
 *
 * @packageDocumentation
 */

/** Reads the time. Policies receive a clock and never read the system time directly. */
export interface Clock {
    /**
     * Reads the monotonic time, which is used for durations, deadlines and lease validity.
     *
     * @returns Milliseconds since an arbitrary origin; never decreases.
     */
    monotonicMs(): number;
    /**
     * Reads the wall time, which is used for usage windows and for records that other hosts read.
     *
     * @returns Milliseconds since the Unix epoch.
     */
    wallMs(): number;
}

/** A clock that can also wait. Tasks use it; policies only read the time. */
export interface WaitingClock extends Clock {
    /**
     * Waits for a duration.
     *
     * @param durationMs - How long to wait, in milliseconds.
     * @param signal - Ends the wait early.
     * @returns A promise that resolves when the duration has passed or the signal is aborted.
     */
    wait(durationMs: number, signal?: AbortSignal): Promise<void>;
}

/** Longest time that a timer takes, in milliseconds; a longer one would fire at once. */
const maximumTimerMs = 2 ** 31 - 1;

/**
 * Computes the time to give to a timer.
 *
 * @param durationMs - The time to wait, in milliseconds, of any size.
 * @returns The time that a timer takes, in milliseconds.
 */
export function computeTimerMs(durationMs: number): number {
    return Math.min(maximumTimerMs, Math.max(0, durationMs));
}

/** Reads the operating system's clocks. */
export class SystemClock implements WaitingClock {
    monotonicMs(): number {
        return performance.now();
    }

    wallMs(): number {
        return Date.now();
    }

    wait(durationMs: number, signal?: AbortSignal): Promise<void> {
        return new Promise((resolve) => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            const finish = (): void => {
                clearTimeout(timer);
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const timer = setTimeout(finish, computeTimerMs(durationMs));
            signal?.addEventListener("abort", finish, { once: true });
        });
    }
}

interface Waiter {
    readonly dueMs: number;
    readonly finish: () => void;
}

/** A clock that only advances through {@link ManualClock.advance}, for tests and experiments. */
export class ManualClock implements WaitingClock {
    private elapsedMs = 0;
    private waiters: Waiter[] = [];

    /**
     * @param startWallMs - Wall time at the start, in milliseconds since the Unix epoch.
     */
    constructor(private readonly startWallMs = 1_800_000_000_000) {}

    monotonicMs(): number {
        return this.elapsedMs;
    }

    wallMs(): number {
        return this.startWallMs + this.elapsedMs;
    }

    wait(durationMs: number, signal?: AbortSignal): Promise<void> {
        return new Promise((resolve) => {
            if (durationMs <= 0 || signal?.aborted) {
                resolve();
                return;
            }
            const abort = (): void => this.removeWaiter(waiter);
            const finish = (): void => {
                signal?.removeEventListener("abort", abort);
                resolve();
            };
            const waiter: Waiter = { dueMs: this.elapsedMs + durationMs, finish };
            this.waiters.push(waiter);
            signal?.addEventListener("abort", abort, { once: true });
        });
    }

    /**
     * Advances the time and ends the waits that became due, in order of their due time.
     *
     * @param durationMs - How far to advance, in milliseconds.
     */
    advance(durationMs: number): void {
        this.elapsedMs += durationMs;
        const due = this.waiters.filter((waiter) => waiter.dueMs <= this.elapsedMs);
        this.waiters = this.waiters.filter((waiter) => waiter.dueMs > this.elapsedMs);
        due.sort((left, right) => left.dueMs - right.dueMs);
        for (const waiter of due) {
            waiter.finish();
        }
    }

    private removeWaiter(waiter: Waiter): void {
        this.waiters = this.waiters.filter((candidate) => candidate !== waiter);
        waiter.finish();
    }
}
