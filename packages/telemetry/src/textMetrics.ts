/**
 * Metrics kept in memory and exposed as text, for collectors that scrape them.
 *
 * @packageDocumentation
 */
import { build, type Histogram } from "hdr-histogram-js";
import { metricDefinitions, type MetricName, type Metrics, type MetricTags } from "./metrics.js";

const namePrefix = "pimentocleat_";
/** Quantiles that are reported for each timer. */
const quantiles: readonly number[] = [0.5, 0.9, 0.99];
/** Maximum time of a histogram, in milliseconds; longer times are recorded as this value. */
const maximumTrackableMs = 600_000;
const percentPerUnit = 100;

interface Series {
    readonly name: MetricName;
    readonly tags: MetricTags;
}

/** Keeps counters, gauges and timer histograms by metric name and tags. */
export class TextMetrics implements Metrics {
    private readonly values = new Map<string, Series & { value: number }>();
    private readonly timers = new Map<string, Series & { readonly histogram: Histogram; sumMs: number }>();

    addCount(name: MetricName, value: number, tags: MetricTags = {}): void {
        const series = this.ensureSeries(name, tags);
        series.value += value;
    }

    setGauge(name: MetricName, value: number, tags: MetricTags = {}): void {
        this.ensureSeries(name, tags).value = value;
    }

    recordTime(name: MetricName, valueMs: number, tags: MetricTags = {}): void {
        const key = formatSeries(name, tags);
        let timer = this.timers.get(key);
        if (timer === undefined) {
            const histogram = build({
                highestTrackableValue: maximumTrackableMs,
                numberOfSignificantValueDigits: 2,
            });
            timer = { name, tags, histogram, sumMs: 0 };
            this.timers.set(key, timer);
        }
        timer.histogram.recordValue(Math.min(maximumTrackableMs, Math.max(0, Math.round(valueMs))));
        timer.sumMs += valueMs;
    }

    /**
     * Formats all metrics in the Prometheus text format.
     *
     * @returns The text, with one line per counter and gauge, and one per quantile, count and sum of a timer.
     */
    formatText(): string {
        const lines: string[] = [];
        for (const { name, tags, value } of this.values.values()) {
            lines.push(`${formatSeries(name, tags)} ${String(value)}`);
        }
        for (const { name, tags, histogram, sumMs } of this.timers.values()) {
            for (const quantile of quantiles) {
                const valueMs = histogram.getValueAtPercentile(quantile * percentPerUnit);
                lines.push(
                    `${formatSeries(name, { ...tags, quantile: String(quantile) })} ${String(valueMs)}`,
                );
            }
            lines.push(`${formatSeries(name, tags, "_count")} ${String(histogram.totalCount)}`);
            lines.push(`${formatSeries(name, tags, "_sum")} ${sumMs.toFixed(1)}`);
        }
        return `${lines.join("\n")}\n`;
    }

    close(): Promise<void> {
        return Promise.resolve();
    }

    private ensureSeries(name: MetricName, tags: MetricTags): { value: number } {
        const key = formatSeries(name, tags);
        const series = this.values.get(key) ?? { name, tags, value: 0 };
        this.values.set(key, series);
        return series;
    }
}

function formatSeries(name: MetricName, tags: MetricTags, suffix = ""): string {
    const { kind, unit } = metricDefinitions[name];
    const ending = kind === "timer" ? `_${unit}` : kind === "counter" ? "_total" : "";
    const base = `${namePrefix}${name.replace(/[^a-zA-Z]/g, "_").toLowerCase()}${ending}${suffix}`;
    const labels = Object.entries(tags).map(([key, value]) => `${key}="${value.replace(/["\\\n]/g, "_")}"`);
    return labels.length === 0 ? base : `${base}{${labels.join(",")}}`;
}
