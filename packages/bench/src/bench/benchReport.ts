/**
 * Report of the benchmark and its text format.
 *
 * @packageDocumentation
 */
import type { BenchOptions } from "./benchOptions.js";
import type { LoadMeasurement, MemoryMeasurement } from "./measureLoad.js";

const bytesPerKilobyte = 1_024;

/** Latency of one kind of request, sent directly to the backend server and through the node. */
export interface LatencyLine {
    readonly name: string;
    readonly samples: number;
    readonly directMedianMs: number;
    readonly nodeMedianMs: number;
    readonly directTailMs: number;
    readonly nodeTailMs: number;
}

/** Results of one run; a part that did not run is undefined or empty. */
export interface BenchReport {
    readonly options: BenchOptions;
    readonly latency: readonly LatencyLine[];
    readonly shortRequests: LoadMeasurement | undefined;
    readonly streams: LoadMeasurement | undefined;
    readonly memory: { readonly idle: MemoryMeasurement; readonly running: MemoryMeasurement } | undefined;
}

/**
 * Formats a report as text.
 *
 * @param report - The report.
 * @returns Lines of text.
 */
export function formatBenchReport(report: BenchReport): string {
    const { options, shortRequests, streams, memory } = report;
    return [
        `one node on loopback, seed ${options.seed}`,
        "",
        "latency, ms           samples   direct p50   node p50   added   ratio   direct p99   node p99   ratio",
        ...report.latency.map(formatLatency),
        "",
        formatLoad("short requests", `${options.concurrency} in flight`, shortRequests),
        formatLoad("streamed tokens", `${options.streams} streams`, streams),
        formatMemory("idle connection", memory?.idle),
        formatMemory("running stream", memory?.running),
    ].join("\n");
}

function formatLatency(line: LatencyLine): string {
    const { name, samples, directMedianMs, nodeMedianMs, directTailMs, nodeTailMs } = line;
    return [
        name.padEnd(20),
        String(samples).padStart(9),
        directMedianMs.toFixed(3).padStart(13),
        nodeMedianMs.toFixed(3).padStart(11),
        (nodeMedianMs - directMedianMs).toFixed(3).padStart(8),
        (nodeMedianMs / directMedianMs).toFixed(2).padStart(8),
        directTailMs.toFixed(3).padStart(13),
        nodeTailMs.toFixed(3).padStart(11),
        (nodeTailMs / directTailMs).toFixed(2).padStart(8),
    ].join("");
}

function formatLoad(name: string, load: string, measurement: LoadMeasurement | undefined): string {
    if (measurement === undefined) {
        return `${name}: not measured`;
    }
    const { count, perSecond, processorMsPerThousand, coreShare, perCoreSecond } = measurement;
    return [
        `${name} (${load}, ${count}): ${Math.round(perSecond)} a second`,
        `${processorMsPerThousand.toFixed(1)} ms of processor time for 1,000`,
        `${coreShare.toFixed(2)} cores in use`,
        `${Math.round(perCoreSecond)} a second and core`,
    ].join(", ");
}

function formatMemory(name: string, memory: MemoryMeasurement | undefined): string {
    if (memory === undefined) {
        return `${name}: not measured`;
    }
    const heap = (memory.heapBytes / bytesPerKilobyte).toFixed(1);
    const resident = (memory.residentBytes / bytesPerKilobyte).toFixed(1);
    return `${name} (${memory.connections}): ${heap} KB of heap and buffers, ${resident} KB resident`;
}
