/**
 * Generates reproducible random numbers from a seed.
 *
 * @packageDocumentation
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/**
 * Creates a seeded source of random numbers.
 *
 * @param seed - The seed.
 * @returns A function that returns numbers from 0 (inclusive) to 1 (exclusive).
 */
export function createRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
}
