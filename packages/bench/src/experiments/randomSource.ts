/**
 * Seeded random numbers for workloads.
 *
 * @packageDocumentation
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Generates pseudo-random numbers from a seed. */
export class RandomSource {
    private readonly generator: ReturnType<typeof xoroshiro128plus>;

    /** @param seed - Seed; equal seeds generate equal sequences. */
    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** @returns A uniformly distributed number from 0 to 1. */
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
     * Chooses a value with a probability proportional to its weight.
     *
     * @param choices - Values with their weights; at least one weight must be positive.
     * @returns The chosen value.
     * @throws Error when the list is empty or no weight is positive.
     */
    choose<Choice>(choices: readonly { readonly value: Choice; readonly weight: number }[]): Choice {
        const total = choices.reduce((sum, { weight }) => sum + weight, 0);
        let remaining = this.next() * total;
        for (const { value, weight } of choices) {
            remaining -= weight;
            if (remaining < 0) {
                return value;
            }
        }
        throw new Error("cannot choose: no choice has a positive weight");
    }
}
