/**
 * Counts work in progress.
 *
 * @packageDocumentation
 */

/** Counts work in progress and tells when there is none. */
export class WorkCounter {
    private count = 0;
    private listeners: (() => void)[] = [];

    /** Notes that a piece of work starts. */
    addWork(): void {
        this.count += 1;
    }

    /** Notes that a piece of work ended. */
    removeWork(): void {
        this.count -= 1;
        if (this.count === 0) {
            this.listeners.splice(0).forEach((listener) => listener());
        }
    }

    /** @returns Pieces of work in progress. */
    countWork(): number {
        return this.count;
    }

    /** @returns Resolves when there is no work. */
    waitUntilIdle(): Promise<void> {
        if (this.count === 0) {
            return Promise.resolve();
        }
        return new Promise((resolve) => this.listeners.push(resolve));
    }
}
