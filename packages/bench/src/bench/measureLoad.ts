/**
 * What one node carries, and the processor time and memory that it needs for it.
 *
 * @packageDocumentation
 */
import type { Socket } from "node:net";
import { BenchClient, buildBenchBody, openRawConnection } from "./benchClient.js";
import type { BenchOptions } from "./benchOptions.js";
import type { BenchProcess } from "./benchProcess.js";

const millisecondsPerSecond = 1_000;
const settleDelayMs = 1_000;
const promptWords = 50;
const contentFieldMarker = Buffer.from('"content":');

/** A load and what it cost the node. */
export interface LoadMeasurement {
    /** Requests or tokens of the load. */
    readonly count: number;
    readonly perSecond: number;
    /** Processor time of the node, in milliseconds for each 1,000 requests or tokens. */
    readonly processorMsPerThousand: number;
    /** Share of one core that the node used. */
    readonly coreShare: number;
    /** What one whole core would carry at this cost, a second. */
    readonly perCoreSecond: number;
}

/** Memory of one connection. */
export interface MemoryMeasurement {
    readonly connections: number;
    /** Heap and buffers, in bytes a connection. */
    readonly heapBytes: number;
    /** Resident memory, in bytes a connection. */
    readonly residentBytes: number;
}

/**
 * Measures short requests in a closed loop.
 *
 * @param node - The node's process.
 * @param options - Concurrency and duration.
 * @returns Requests a second and their cost.
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
 * Measures streams at a fixed pace.
 *
 * @param node - The node's process.
 * @param options - Streams, pace and duration.
 * @returns Tokens a second and their cost.
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
 * @param node - The node's process.
 * @param options - Number of connections.
 * @returns Memory of an idle connection and of a running stream.
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
