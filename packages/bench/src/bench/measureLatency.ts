/**
 * Measures the latency that a node adds: each request is sent both directly to the backend server and through
 * the node, in the same run and in random order.
 *
 * @packageDocumentation
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { BenchClient, buildBenchBody } from "./benchClient.js";
import type { BenchOptions } from "./benchOptions.js";
import { Sample } from "./sample.js";

const warmUpCalls = 300;
const maximumPromptWords = 400;

/** Durations of the same requests sent directly and through the node. */
export interface SamplePair {
    readonly name: string;
    readonly direct: Sample;
    readonly node: Sample;
}

/**
 * Measures the latency of requests sent directly and through the node.
 *
 * @param addresses - IP addresses and ports of the backend server and the node.
 * @param options - Numbers of request pairs, stream settings and seed.
 * @returns Durations of complete responses, times to the first token and gaps between tokens.
 */
export async function measureLatency(
    addresses: { readonly backend: string; readonly node: string },
    options: BenchOptions,
): Promise<readonly SamplePair[]> {
    const random = xoroshiro128plus(options.seed);
    const direct = new BenchClient(addresses.backend);
    const node = new BenchClient(addresses.node);
    const [complete, first, between] = ["whole answer", "first token", "between tokens"].map(createPair);
    for (let call = 0; call < warmUpCalls; call += 1) {
        await direct.sendNonStreaming(buildBenchBody(undefined, 1));
        await node.sendNonStreaming(buildBenchBody(undefined, 1));
    }
    for (let pair = 0; pair < options.wholePairs; pair += 1) {
        const body = buildBenchBody(undefined, uniformInt(random, 1, maximumPromptWords));
        await runInOrder(uniformInt(random, 0, 1) === 0, [
            async () => complete!.direct.addDuration(await direct.sendNonStreaming(body)),
            async () => complete!.node.addDuration(await node.sendNonStreaming(body)),
        ]);
    }
    const plan = { tokens: options.sendTokens, intervalMs: options.tokenIntervalMs };
    for (let pair = 0; pair < options.streamPairs; pair += 1) {
        const body = buildBenchBody(plan, uniformInt(random, 1, maximumPromptWords));
        await runInOrder(uniformInt(random, 0, 1) === 0, [
            () => recordStream(direct, body, first!.direct, between!.direct),
            () => recordStream(node, body, first!.node, between!.node),
        ]);
    }
    await Promise.all([direct.close(), node.close()]);
    return [complete!, first!, between!];
}

function createPair(name: string): SamplePair {
    return { name, direct: new Sample(), node: new Sample() };
}

async function runInOrder(isDirectFirst: boolean, calls: readonly (() => Promise<void>)[]): Promise<void> {
    for (const call of isDirectFirst ? calls : calls.toReversed()) {
        await call();
    }
}

async function recordStream(
    client: BenchClient,
    body: string,
    first: Sample,
    between: Sample,
): Promise<void> {
    const { firstMs, gapsMs } = await client.sendStream(body);
    first.addDuration(firstMs);
    gapsMs.forEach((gapMs) => between.addDuration(gapMs));
}
