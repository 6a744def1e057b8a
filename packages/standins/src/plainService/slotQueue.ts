/**
 * A limited number of slots with a queue of callers that wait for one.
 *
 * @packageDocumentation
 */

/** Number of calls that hold a slot and number of calls that wait for one. */
export interface SlotOccupancy {
    readonly running: number;
    readonly waiting: number;
}

/** Assigns a limited number of slots first in, first out. */
export class SlotQueue {
    private running = 0;
    private readonly waiting: (() => void)[] = [];

    /**
     * @param slots - Number of slots.
     * @param onChange - Called with the occupancy after each change.
     */
    constructor(
        private readonly slots: number,
        private readonly onChange: (occupancy: SlotOccupancy) => void,
    ) {}

    /** Waits for a free slot and acquires it. */
    async acquire(): Promise<void> {
        if (this.running < this.slots) {
            this.running += 1;
            this.reportOccupancy();
            return;
        }
        await new Promise<void>((resolve) => {
            this.waiting.push(resolve);
            this.reportOccupancy();
        });
    }

    /** Passes a slot on to the next waiting call, or frees it when none waits. */
    release(): void {
        const next = this.waiting.shift();
        if (next === undefined) {
            this.running -= 1;
        } else {
            next();
        }
        this.reportOccupancy();
    }

    private reportOccupancy(): void {
        this.onChange({ running: this.running, waiting: this.waiting.length });
    }
}
