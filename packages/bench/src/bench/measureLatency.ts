/**
 * Latency that a node adds: each call is made directly and through the node, in the same run.
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

/** A direct sample and one through the node. */
export interface SamplePair {
    readonly name: string;
    readonly direct: Sample;
    readonly node: Sample;
}

/**
 * Measures the added latency.
 *
 * @param addresses - Where the backend and the node listen.
 * @param options - Sample sizes and seed.
 * @returns Whole answers, first tokens and gaps between tokens.
 */
export async function measureLatency(
    addresses: { readonly backend: string; readonly node: string },
    options: BenchOptions,
): Promise<readonly SamplePair[]> {
    const random = xoroshiro128plus(options.seed);
    const direct = new BenchClient(addresses.backend);
    const node = new BenchClient(addresses.node);
    const [whole, first, between] = ["whole answer", "first token", "between tokens"].map(createPair);
    for (let call = 0; call < warmUpCalls; call += 1) {
        await direct.sendNonStreaming(buildBenchBody(undefined, 1));
        await node.sendNonStreaming(buildBenchBody(undefined, 1));
    }
    for (let pair = 0; pair < options.wholePairs; pair += 1) {
        const body = buildBenchBody(undefined, uniformInt(random, 1, maximumPromptWords));
        await runInOrder(uniformInt(random, 0, 1) === 0, [
            async () => whole!.direct.addDuration(await direct.sendNonStreaming(body)),
            async () => whole!.node.addDuration(await node.sendNonStreaming(body)),
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
    return [whole!, first!, between!];
}

function createPair(name: string): SamplePair {
    return { name, direct: new Sample(), node: new Sample() };
}

async function runInOrder(forward: boolean, calls: readonly (() => Promise<void>)[]): Promise<void> {
    for (const call of forward ? calls : calls.toReversed()) {
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
