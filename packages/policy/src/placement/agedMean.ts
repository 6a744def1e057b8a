/**
 * A mean of irregular samples in which each counts by its age.
 *
 * @packageDocumentation
 */

/** Averages samples by a time constant, and forgets them by another when no more arrive. */
export class AgedMean {
    private mean = 0;
    private updatedMs = Number.NEGATIVE_INFINITY;

    /**
     * @param timeConstantMs - Time constant of the average, in milliseconds.
     * @param lifetimeMs - Time constant with which the mean returns to 0 without samples, in milliseconds.
     */
    constructor(
        private readonly timeConstantMs: number,
        private readonly lifetimeMs: number,
    ) {}

    /**
     * Records a sample. Samples of one moment count as one: the last of them does not replace the average.
     *
     * @param value - The sample, as the difference from its usual value.
     * @param nowMs - The monotonic time, in milliseconds.
     */
    record(value: number, nowMs: number): void {
        const gain = 1 - Math.exp((this.updatedMs - nowMs) / this.timeConstantMs);
        this.mean += gain * (value - this.mean);
        this.updatedMs = nowMs;
    }

    /**
     * Reads the mean.
     *
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The mean difference from the usual value; 0 when there was no sample.
     */
    readMean(nowMs: number): number {
        return this.mean * Math.exp((this.updatedMs - nowMs) / this.lifetimeMs);
    }
}
