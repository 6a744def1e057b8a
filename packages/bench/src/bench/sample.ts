/**
 * Samples of a duration and their percentiles.
 *
 * @packageDocumentation
 */
import { build } from "hdr-histogram-js";

const microsecondsPerMillisecond = 1_000;
const medianPercentile = 50;
const tailPercentile = 99;

/** Durations of one kind. */
export class Sample {
    private readonly histogram = build({ numberOfSignificantValueDigits: 3 });

    /** @param durationMs - A duration, in milliseconds. */
    addDuration(durationMs: number): void {
        this.histogram.recordValue(Math.max(1, Math.round(durationMs * microsecondsPerMillisecond)));
    }

    /** Number of durations. */
    get size(): number {
        return this.histogram.totalCount;
    }

    /** Median, in milliseconds. */
    get medianMs(): number {
        return this.readPercentile(medianPercentile);
    }

    /** 99th percentile, in milliseconds. */
    get tailMs(): number {
        return this.readPercentile(tailPercentile);
    }

    private readPercentile(percentile: number): number {
        return this.histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
    }
}
