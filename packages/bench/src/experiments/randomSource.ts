/**
 * Seeded random numbers for workloads.
 *
 * @packageDocumentation
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A seeded source of random numbers. */
export class RandomSource {
    private readonly generator: ReturnType<typeof xoroshiro128plus>;

    /** @param seed - Seed; equal seeds give equal numbers. */
    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** @returns A number from 0 to 1. */
    next(): number {
        return uniformFloat64(this.generator);
    }

    /**
     * @param mean - Mean of the distribution.
     * @returns An exponentially distributed number.
     */
    nextExponential(mean: number): number {
        return -Math.log(1 - this.next()) * mean;
    }

    /**
     * Chooses by weight.
     *
     * @param choices - Choices with their weights; not empty.
     * @returns One of them.
     */
    choose<Choice>(choices: readonly { readonly value: Choice; readonly weight: number }[]): Choice {
        const total = choices.reduce((sum, { weight }) => sum + weight, 0);
        let left = this.next() * total;
        for (const { value, weight } of choices) {
            left -= weight;
            if (left < 0) {
                return value;
            }
        }
        throw new Error("no choice has a weight");
    }
}
