export { ConsolaLogger, SilentLogger } from "./logger.js";
export type { ConsolaLoggerOptions, LogFields, Logger } from "./logger.js";
export { logEvents } from "./logEvents.js";
export type { LogEvent, LogEventName, LogLevel } from "./logEvents.js";
export { MemoryMetrics, StatsdMetrics, metricDefinitions } from "./metrics.js";
export type {
    MetricDefinition,
    MetricKind,
    MetricName,
    MetricTags,
    Metrics,
    StatsdMetricsOptions,
} from "./metrics.js";
export { BoundedLineWriter } from "./boundedLineWriter.js";
export type { BoundedLineWriterOptions, WriteBytes } from "./boundedLineWriter.js";
export { TextMetrics } from "./textMetrics.js";
