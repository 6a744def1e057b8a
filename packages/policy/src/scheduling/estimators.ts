/**
 * Online estimators of durations and event rates.
 *
 * @packageDocumentation
 */

/** Estimates an exponentially weighted mean and mean deviation, as TCP does for its round-trip time. */
export class MeanEstimator {
    private mean: number;
    private deviation: number;
    private samples = 0;

    /**
     * @param initial - The mean reported before the first sample.
     * @param gain - The smoothing factor, which is the weight of a new sample, 0 to 1.
     */
    constructor(
        initial: number,
        private readonly gain = 0.05,
    ) {
        this.mean = initial;
        this.deviation = 0;
    }

    /**
     * Records a sample.
     *
     * @param value - The new sample.
     */
    record(value: number): void {
        this.samples += 1;
        // The first samples get a larger weight, so that the estimate converges quickly.
        const gain = Math.max(this.gain, 1 / this.samples);
        const difference = value - this.mean;
        this.mean += gain * difference;
        this.deviation += gain * (Math.abs(difference) - this.deviation);
    }

    /** @returns The current mean. */
    readMean(): number {
        return this.mean;
    }

    /** @returns The mean plus two mean deviations. */
    readUpperBound(): number {
        return this.mean + 2 * this.deviation;
    }

    /** @returns The number of samples recorded so far. */
    countSamples(): number {
        return this.samples;
    }
}

/** Estimates an event rate over an exponentially decaying window. */
export class RateEstimator {
    private decayedAmount = 0;
    private lastMs: number;

    /**
     * @param timeConstantMs - The time constant of the decay, in milliseconds.
     * @param startMs - The monotonic time at which counting starts, in milliseconds.
     */
    constructor(
        private readonly timeConstantMs: number,
        private readonly startMs: number,
    ) {
        this.lastMs = startMs;
    }

    /**
     * Records events.
     *
     * @param amount - The number of events or units.
     * @param nowMs - The monotonic time, in milliseconds.
     */
    record(amount: number, nowMs: number): void {
        this.applyDecay(nowMs);
        this.decayedAmount += amount;
    }

    /**
     * Reads the current rate.
     *
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The rate, in units per second.
     */
    readPerSecond(nowMs: number): number {
        this.applyDecay(nowMs);
        const ageMs = nowMs - this.startMs;
        const spanMs = this.timeConstantMs * (1 - Math.exp(-ageMs / this.timeConstantMs));
        return spanMs <= 0 ? 0 : (this.decayedAmount * 1_000) / Math.max(spanMs, this.timeConstantMs / 10);
    }

    private applyDecay(nowMs: number): void {
        this.decayedAmount *= Math.exp((this.lastMs - nowMs) / this.timeConstantMs);
        this.lastMs = nowMs;
    }
}
