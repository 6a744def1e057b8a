/**
 * What a node learns about the requests of one kind: the sizes of their prompts, and how long answers take after they
 * begin.
 *
 * @packageDocumentation
 */
import { MeanEstimator } from "../scheduling/estimators.js";

/** Number of recent prompts with which a prompt is compared. */
const comparedPrompts = 64;
/** Minimum number of prompts before one counts as large; the first few say little. */
const minimumPrompts = 8;

/** Profile of one kind of request. */
export class KindProfile {
    private readonly sizes: number[] = [];
    private nextSize = 0;
    private readonly rest = new MeanEstimator(0);

    /**
     * Ranks a prompt among the recent ones, and adds it to them.
     *
     * @param promptTokens - Size of the prompt.
     * @returns The part of the recent prompts that are smaller, 0 to 1; 0 while there are too few.
     */
    recordPrompt(promptTokens: number): number {
        const { sizes } = this;
        const smaller = sizes.reduce((count, size) => count + (size < promptTokens ? 1 : 0), 0);
        const rank = sizes.length < minimumPrompts ? 0 : smaller / sizes.length;
        sizes[this.nextSize] = promptTokens;
        this.nextSize = (this.nextSize + 1) % comparedPrompts;
        return rank;
    }

    /**
     * Records a complete answer.
     *
     * @param restMs - Time from its first event to its end, in milliseconds.
     */
    recordAnswer(restMs: number): void {
        this.rest.record(restMs);
    }

    /**
     * Reads the time to expect from the first event to the end. Only complete answers are recorded, whose mean is too short
     * while others are cut off by their deadlines.
     *
     * @returns The mean and two mean deviations, in milliseconds; 0 while no answer is known.
     */
    readRestMs(): number {
        return this.rest.readUpperBound();
    }
}
