/**
 * A counter of work in progress.
 *
 * @packageDocumentation
 */

/** Counts work in progress and resolves waiting promises when none is left. */
export class WorkCounter {
    private count = 0;
    private listeners: (() => void)[] = [];

    /** Records the start of a piece of work. */
    addWork(): void {
        this.count += 1;
    }

    /** Records the end of a piece of work. */
    removeWork(): void {
        this.count -= 1;
        if (this.count === 0) {
            this.listeners.splice(0).forEach((listener) => listener());
        }
    }

    /** @returns Number of pieces of work in progress. */
    countWork(): number {
        return this.count;
    }

    /** @returns A promise that resolves when no work is in progress. */
    waitUntilIdle(): Promise<void> {
        if (this.count === 0) {
            return Promise.resolve();
        }
        return new Promise((resolve) => this.listeners.push(resolve));
    }
}
