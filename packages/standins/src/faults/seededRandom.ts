/**
 * A seeded pseudorandom number generator, for faults that apply to a share of the calls.
 *
 * @packageDocumentation
 */

const stateIncrement = 0x6d2b79f5;
const range = 2 ** 32;

/** Generates numbers that depend only on the seed, with the mulberry32 algorithm. */
export class SeededRandom {
    private state: number;

    /**
     * @param seed - Any integer.
     */
    constructor(seed: number) {
        this.state = seed >>> 0;
    }

    /** @returns The next number, from 0 (inclusive) to 1 (exclusive). */
    next(): number {
        this.state = (this.state + stateIncrement) >>> 0;
        const first = Math.imul(this.state ^ (this.state >>> 15), this.state | 1);
        const second = first ^ (first + Math.imul(first ^ (first >>> 7), first | 61));
        return ((second ^ (second >>> 14)) >>> 0) / range;
    }
}
