/**
 * Export of metrics to a StatsD server.
 *
 * @packageDocumentation
 */
import { StatsD } from "hot-shots";
import type { MetricName, Metrics, MetricTags } from "./metrics.js";

/** Options of {@link StatsdMetrics}. */
export interface StatsdMetricsOptions {
    /** IP address of the StatsD server. */
    readonly host: string;
    readonly port: number;
    readonly prefix: string;
    readonly tags: MetricTags;
}

/** Sends metrics to a StatsD server over UDP. Send errors are ignored. */
export class StatsdMetrics implements Metrics {
    private readonly client: StatsD;

    /** @param options - Address, prefix and fixed tags. */
    constructor(options: StatsdMetricsOptions) {
        this.client = new StatsD({
            host: options.host,
            port: options.port,
            prefix: `${options.prefix}.`,
            globalTags: { ...options.tags },
            errorHandler: () => {},
        });
    }

    addCount(name: MetricName, value: number, tags: MetricTags = {}): void {
        this.client.increment(name, value, { ...tags });
    }

    setGauge(name: MetricName, value: number, tags: MetricTags = {}): void {
        this.client.gauge(name, value, { ...tags });
    }

    recordTime(name: MetricName, valueMs: number, tags: MetricTags = {}): void {
        this.client.timing(name, valueMs, { ...tags });
    }

    close(): Promise<void> {
        return new Promise((resolve) => {
            this.client.close(() => resolve());
        });
    }
}
