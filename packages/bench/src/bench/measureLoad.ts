/**
 * Measures the throughput of one node, and the processor time and memory that it needs.
 *
 * @packageDocumentation
 */
import type { Socket } from "node:net";
import { BenchClient, buildBenchBody, openRawConnection } from "./benchClient.js";
import type { BenchOptions } from "./benchOptions.js";
import type { BenchProcess } from "./benchProcess.js";

const millisecondsPerSecond = 1_000;
/** Delay after connections are opened or closed and before the measurement starts, in milliseconds. */
const settleDelayMs = 1_000;
const promptWords = 50;
const contentFieldMarker = Buffer.from('"content":');

/** Throughput of a load and the processor time that the node spent on it. */
export interface LoadMeasurement {
    /** Number of requests or tokens. */
    readonly count: number;
    readonly perSecond: number;
    /** Processor time of the node per 1,000 requests or tokens, in milliseconds. */
    readonly processorMsPerThousand: number;
    /** Average number of processor cores that the node used. */
    readonly coreShare: number;
    /** Requests or tokens per second that one fully used core would process. */
    readonly perCoreSecond: number;
}

/** Memory that a node uses per connection. */
export interface MemoryMeasurement {
    readonly connections: number;
    /** JavaScript heap and external buffers, in bytes per connection. */
    readonly heapBytes: number;
    /** Resident memory, in bytes per connection. */
    readonly residentBytes: number;
}

/**
 * Measures short requests in a closed loop: each client sends its next request when the previous one has ended.
 *
 * @param node - Process of the node.
 * @param options - Concurrency and duration.
 * @returns Requests per second and their processor time.
 */
export async function measureShortRequests(
    node: BenchProcess,
    options: BenchOptions,
): Promise<LoadMeasurement> {
    const body = buildBenchBody(undefined, promptWords);
    const clients = Array.from({ length: options.concurrency }, () => new BenchClient(node.address));
    const measurement = await measureWhile(node, options.loadMs, async (endMs) => {
        const counts = await Promise.all(clients.map((client) => sendUntil(client, body, endMs)));
        return counts.reduce((sum, count) => sum + count, 0);
    });
    await Promise.all(clients.map((client) => client.close()));
    return measurement;
}

/**
 * Measures concurrent streams that receive tokens at a fixed interval.
 *
 * @param node - Process of the node.
 * @param options - Number of streams, token interval and duration.
 * @returns Tokens per second and their processor time.
 */
export async function measureStreams(node: BenchProcess, options: BenchOptions): Promise<LoadMeasurement> {
    const body = buildBenchBody(
        { tokens: Number.MAX_SAFE_INTEGER, intervalMs: options.loadIntervalMs },
        promptWords,
    );
    let tokens = 0;
    const sockets = await openConnections(node, options.streams, body, (chunk) => {
        tokens += countTokens(chunk);
    });
    await wait(settleDelayMs);
    const measurement = await measureWhile(node, options.loadMs, async (endMs) => {
        const before = tokens;
        await wait(endMs - performance.now());
        return tokens - before;
    });
    await closeConnections(sockets);
    return measurement;
}

/**
 * Measures the memory of idle connections and of running streams.
 *
 * @param node - Process of the node.
 * @param options - Number of connections.
 * @returns Memory per idle connection and per running stream.
 */
export async function measureMemory(
    node: BenchProcess,
    options: BenchOptions,
): Promise<{ readonly idle: MemoryMeasurement; readonly running: MemoryMeasurement }> {
    const idle = await measureConnections(node, options.memoryConnections, undefined);
    const body = buildBenchBody({ tokens: 1_000, intervalMs: 100 }, promptWords);
    const running = await measureConnections(node, options.memoryConnections, body);
    return { idle, running };
}

async function measureConnections(
    node: BenchProcess,
    connections: number,
    body: string | undefined,
): Promise<MemoryMeasurement> {
    const before = await node.measure();
    const sockets = await openConnections(node, connections, body, () => {});
    await wait(2 * settleDelayMs);
    const after = await node.measure();
    await closeConnections(sockets);
    return {
        connections,
        heapBytes: (after.heapBytes - before.heapBytes) / connections,
        residentBytes: (after.residentBytes - before.residentBytes) / connections,
    };
}

async function measureWhile(
    node: BenchProcess,
    durationMs: number,
    run: (endMs: number) => Promise<number>,
): Promise<LoadMeasurement> {
    const before = await node.measure();
    const startMs = performance.now();
    const count = await run(startMs + durationMs);
    const elapsedMs = performance.now() - startMs;
    const processorMs = (await node.measure()).processorMs - before.processorMs;
    return {
        count,
        perSecond: (count / elapsedMs) * millisecondsPerSecond,
        processorMsPerThousand: (processorMs / count) * 1_000,
        coreShare: processorMs / elapsedMs,
        perCoreSecond: (count / processorMs) * millisecondsPerSecond,
    };
}

async function sendUntil(client: BenchClient, body: string, endMs: number): Promise<number> {
    let count = 0;
    while (performance.now() < endMs) {
        await client.sendNonStreaming(body);
        count += 1;
    }
    return count;
}

async function openConnections(
    node: BenchProcess,
    count: number,
    body: string | undefined,
    onData: (chunk: Buffer) => void,
): Promise<readonly Socket[]> {
    const sockets: Socket[] = [];
    while (sockets.length < count) {
        sockets.push(await openRawConnection(node.address, body, onData));
    }
    return sockets;
}

async function closeConnections(sockets: readonly Socket[]): Promise<void> {
    sockets.forEach((socket) => socket.destroy());
    await wait(settleDelayMs);
}

function countTokens(chunk: Buffer): number {
    let count = 0;
    for (
        let at = chunk.indexOf(contentFieldMarker);
        at >= 0;
        at = chunk.indexOf(contentFieldMarker, at + contentFieldMarker.length)
    ) {
        count += 1;
    }
    return count;
}

function wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, Math.max(0, durationMs)));
}
