/**
 * A small random source with a seed, for faults that strike a share of the calls.
 *
 * @packageDocumentation
 */

const stateIncrement = 0x6d2b79f5;
const range = 2 ** 32;

/** Draws numbers that depend on the seed only (mulberry32). */
export class SeededRandom {
    private state: number;

    /**
     * @param seed - Any integer.
     */
    constructor(seed: number) {
        this.state = seed >>> 0;
    }

    /** @returns The next number, at least 0 and below 1. */
    next(): number {
        this.state = (this.state + stateIncrement) >>> 0;
        const first = Math.imul(this.state ^ (this.state >>> 15), this.state | 1);
        const second = first ^ (first + Math.imul(first ^ (first >>> 7), first | 61));
        return ((second ^ (second >>> 14)) >>> 0) / range;
    }
}
