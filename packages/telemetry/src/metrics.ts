/**
 * The metric catalogue; see docs/METRICS.md.
 *
 * @packageDocumentation
 */

/** Kind of a metric. */
export type MetricKind = "counter" | "gauge" | "timer";

/** One entry of the catalogue. */
export interface MetricDefinition {
    readonly kind: MetricKind;
    readonly unit: string;
    readonly tags: readonly string[];
    readonly description: string;
}

function defineMetric(
    kind: MetricKind,
    unit: string,
    tags: readonly string[],
    description: string,
): MetricDefinition {
    return { kind, unit, tags, description };
}

/** Every metric that the product sends. */
export const metricDefinitions = {
    "connection.refused": defineMetric(
        "counter",
        "connections",
        [],
        "Connections of callers that were closed at once, since requests ran on all others.",
    ),
    "request.finished": defineMetric("counter", "requests", ["class", "status"], "Answered requests."),
    "request.refused": defineMetric("counter", "requests", ["kind"], "Refused requests, by error kind."),
    "request.abandoned": defineMetric(
        "counter",
        "requests",
        [],
        "Requests whose caller left before the answer.",
    ),
    "request.takeover": defineMetric(
        "counter",
        "requests",
        ["result"],
        "Requests of silent servers that were sent to another server, by result.",
    ),
    "request.retried": defineMetric("counter", "retries", ["reason"], "Retries, by reason."),
    "request.firstToken": defineMetric("timer", "ms", ["class"], "Time to the first token."),
    "request.complete": defineMetric("timer", "ms", ["class"], "Time to the complete answer."),
    "prompt.quarantined": defineMetric(
        "counter",
        "parts",
        [],
        "Prompt parts that were taken for harmful, because servers crashed on them.",
    ),
    "request.quarantined": defineMetric(
        "counter",
        "requests",
        [],
        "Different requests that were taken for harmful, because servers crashed on them.",
    ),
    "server.notice": defineMetric(
        "counter",
        "notices",
        ["kind"],
        "Responses in which a backend server said that it leaves, asked for a pause or changed its limit.",
    ),
    "server.permit": defineMetric(
        "counter",
        "permits",
        ["result"],
        "Permits asked for requests to backend servers with a limit.",
    ),
    "dataCentre.evacuated": defineMetric(
        "gauge",
        "0 or 1",
        ["dataCentre"],
        "Whether the servers of a data centre get no requests, because operators evacuated it.",
    ),
    "server.cold": defineMetric(
        "counter",
        "servers",
        ["reason"],
        "Events after which a backend server may be cold, by what this node knows.",
    ),
    "service.freeSlots": defineMetric(
        "gauge",
        "slots",
        ["service"],
        "Predicted free slots of the servers of a service; only where they report their pace.",
    ),
    "service.freeTokens": defineMetric(
        "gauge",
        "tokens",
        ["service"],
        "Predicted free memory of the engines of a service; only where they report their pace.",
    ),
    "service.busiestServer": defineMetric(
        "gauge",
        "multiple of the mean",
        ["service"],
        "Requests on the busiest server of a service in relation to the mean; only where they report their pace.",
    ),
    "service.noRoom": defineMetric(
        "counter",
        "requests",
        ["service"],
        "Requests that were sent to a server without a slot or memory for them.",
    ),
    "request.sent": defineMetric("counter", "requests", ["route"], "Sends to backend servers, by route."),
    "request.relayDeclined": defineMetric(
        "counter",
        "requests",
        ["cause"],
        "Requests that another node did not relay: for a reason of its own, or of the server.",
    ),
    "request.relayed": defineMetric(
        "counter",
        "requests",
        ["role"],
        "Requests that went through another node, at their sender and at the node that relays them.",
    ),
    "request.notRetried": defineMetric(
        "counter",
        "requests",
        ["reason"],
        "Failed attempts that no other attempt followed, by reason.",
    ),
    "admission.decided": defineMetric(
        "counter",
        "decisions",
        ["result", "reason"],
        "Decisions of admission control: started, waiting, refused.",
    ),
    "admission.wait": defineMetric("timer", "ms", ["class"], "Time for which requests waited at the node."),
    "admission.return": defineMetric(
        "timer",
        "ms",
        ["class"],
        "Time after which callers that admission control refused should come back.",
    ),
    "log.dropped": defineMetric(
        "counter",
        "lines",
        [],
        "Log lines left out, because of the budget or a reader that stopped.",
    ),
    "store.unreachable": defineMetric(
        "gauge",
        "0 or 1",
        ["table"],
        "Whether the last call that follows a table of the store failed.",
    ),
    "tokens.served": defineMetric("counter", "tokens", ["class"], "Generated tokens that reached a caller."),
    "tokens.wasted": defineMetric("counter", "tokens", ["reason"], "Generated tokens that were thrown away."),
} as const satisfies Record<string, MetricDefinition>;

/** Name of a metric. */
export type MetricName = keyof typeof metricDefinitions;

/** Tags of one measurement. */
export type MetricTags = Readonly<Record<string, string>>;

/** Records measurements. */
export interface Metrics {
    /** Adds a value to a counter. */
    addCount(name: MetricName, value: number, tags?: MetricTags): void;
    /** Sets the current value of a gauge. */
    setGauge(name: MetricName, value: number, tags?: MetricTags): void;
    /** Records a duration in milliseconds for a timer. */
    recordTime(name: MetricName, valueMs: number, tags?: MetricTags): void;
    /** Releases the resources of the exporter. */
    close(): Promise<void>;
}

/** Keeps sums and gauges in memory, for tests, benchmarks and nodes without a StatsD server. */
export class MemoryMetrics implements Metrics {
    private readonly sums = new Map<string, number>();

    addCount(name: MetricName, value: number, tags: MetricTags = {}): void {
        const key = formatMetricKey(name, tags);
        this.sums.set(key, (this.sums.get(key) ?? 0) + value);
    }

    setGauge(name: MetricName, value: number, tags: MetricTags = {}): void {
        this.sums.set(formatMetricKey(name, tags), value);
    }

    recordTime(name: MetricName, valueMs: number, tags: MetricTags = {}): void {
        this.addCount(name, valueMs, tags);
    }

    /**
     * Reads a sum or a gauge.
     *
     * @param name - The metric.
     * @param tags - Its tags.
     * @returns The value; 0 when nothing was recorded.
     */
    readValue(name: MetricName, tags: MetricTags = {}): number {
        return this.sums.get(formatMetricKey(name, tags)) ?? 0;
    }

    /**
     * Lists all sums and gauges.
     *
     * @returns The values by metric name and tags.
     */
    listValues(): ReadonlyMap<string, number> {
        return this.sums;
    }

    close(): Promise<void> {
        return Promise.resolve();
    }
}

function formatMetricKey(name: MetricName, tags: MetricTags): string {
    const parts = Object.entries(tags)
        .sort(([left], [right]) => left.localeCompare(right))
        .map(([key, value]) => `${key}:${value}`);
    return [name, ...parts].join("|");
}
