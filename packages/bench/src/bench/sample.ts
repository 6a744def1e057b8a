/**
 * Percentiles of measured durations.
 *
 * @packageDocumentation
 */
import { build } from "hdr-histogram-js";

const microsecondsPerMillisecond = 1_000;
const medianPercentile = 50;
const tailPercentile = 99;

/** Collects durations in a histogram. */
export class Sample {
    private readonly histogram = build({ numberOfSignificantValueDigits: 3 });

    /**
     * Adds a duration.
     *
     * @param durationMs - The duration, in milliseconds; recorded in whole microseconds, at least 1.
     */
    addDuration(durationMs: number): void {
        this.histogram.recordValue(Math.max(1, Math.round(durationMs * microsecondsPerMillisecond)));
    }

    /** Number of recorded durations. */
    get size(): number {
        return this.histogram.totalCount;
    }

    /** Median duration, in milliseconds. */
    get medianMs(): number {
        return this.readPercentile(medianPercentile);
    }

    /** 99th percentile of the durations, in milliseconds. */
    get tailMs(): number {
        return this.readPercentile(tailPercentile);
    }

    private readPercentile(percentile: number): number {
        return this.histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
    }
}
