/**
 * Running estimates of durations and rates.
 *
 * @packageDocumentation
 */

/** Exponentially weighted mean and mean deviation, as TCP estimates its round trip. */
export class MeanEstimator {
    private mean: number;
    private deviation: number;
    private samples = 0;

    /**
     * @param initial - Value until the first sample.
     * @param gain - Weight of a new sample, 0 to 1.
     */
    constructor(
        initial: number,
        private readonly gain = 0.05,
    ) {
        this.mean = initial;
        this.deviation = 0;
    }

    /** @param value - A new sample. */
    record(value: number): void {
        this.samples += 1;
        // The first samples weigh more, so that the estimate settles quickly.
        const gain = Math.max(this.gain, 1 / this.samples);
        const difference = value - this.mean;
        this.mean += gain * difference;
        this.deviation += gain * (Math.abs(difference) - this.deviation);
    }

    /** @returns The mean. */
    readMean(): number {
        return this.mean;
    }

    /** @returns The mean plus two mean deviations. */
    readUpperBound(): number {
        return this.mean + 2 * this.deviation;
    }

    /** @returns Samples so far. */
    countSamples(): number {
        return this.samples;
    }
}

/** Rate of events with an exponentially decaying memory. */
export class RateEstimator {
    private decayedAmount = 0;
    private lastMs: number;

    /**
     * @param timeConstantMs - Time constant, in milliseconds.
     * @param startMs - Monotonic time of the start.
     */
    constructor(
        private readonly timeConstantMs: number,
        private readonly startMs: number,
    ) {
        this.lastMs = startMs;
    }

    /**
     * @param amount - Events or units.
     * @param nowMs - Monotonic time.
     */
    record(amount: number, nowMs: number): void {
        this.applyDecay(nowMs);
        this.decayedAmount += amount;
    }

    /**
     * @param nowMs - Monotonic time.
     * @returns Units a second.
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
