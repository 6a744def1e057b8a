/**
 * A limited number of slots with a queue before them.
 *
 * @packageDocumentation
 */

/** Numbers of calls that hold and that wait for a slot. */
export interface SlotOccupancy {
    readonly running: number;
    readonly waiting: number;
}

/** Hands out slots in the order of arrival. */
export class SlotQueue {
    private running = 0;
    private readonly waiting: (() => void)[] = [];

    /**
     * @param slots - Number of slots.
     * @param onChange - Told the use after each change.
     */
    constructor(
        private readonly slots: number,
        private readonly onChange: (use: SlotOccupancy) => void,
    ) {}

    /** Waits for a slot and takes it. */
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

    /** Gives a slot to the next call that waits. */
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
