import { describe, expect, it } from "vitest";
import { buildDigest, buildSecret, Cluster, settle, defaultParts } from "./cluster.js";

const nodeCount = 9;
const rounds = 40;
const medianTargetMs = 3_000;
const worstTargetMs = 12_000;
const withdrawalTargetMs = 5_000;
const stepMs = 50;

interface PropagationCase {
    readonly title: string;
    readonly storeDelayMs: number;
    /** How long one node is paused right before the change, in milliseconds. */
    readonly pauseMs: number;
}

const propagationCases: readonly PropagationCase[] = [
    { title: "calm", storeDelayMs: 0, pauseMs: 0 },
    { title: "one node paused", storeDelayMs: 0, pauseMs: 5_000 },
    { title: "slow store", storeDelayMs: 500, pauseMs: 0 },
];

/** Measures from the answer to the operator until each node has the change in force. */
async function measurePropagation(
    propagationCase: PropagationCase,
    change: "apply" | "withdraw",
): Promise<number[]> {
    const cluster = new Cluster(defaultParts, nodeCount, 7);
    const keys = [...Array(rounds).keys()].map((index) => `k${String(index)}`);
    const entries = keys.map((id) => `{id: ${id}, customer: c, digest: ${buildDigest(id)}}`).join(", ");
    const files = [{ name: "keys.yaml", content: `{customers: [{name: c}], keys: [${entries}]}` }];
    await cluster.finish(cluster.createOperator().applyChanges({ author: "o", changes: files }));
    await cluster.advance(10_000);
    cluster.storeDelayMs = propagationCase.storeDelayMs;
    const times: number[] = [];
    for (const [round, keyId] of keys.entries()) {
        await cluster.advance(Math.floor(cluster.random() * 40) * stepMs);
        const isInForce = await startChange(cluster, change, { round, keyId });
        times.push(...(await waitForAll(cluster, propagationCase.pauseMs, isInForce)));
    }
    cluster.close();
    return times.sort((left, right) => left - right);
}

async function startChange(
    cluster: Cluster,
    change: "apply" | "withdraw",
    { round, keyId }: { round: number; keyId: string },
): Promise<(node: Cluster["nodes"][number]) => boolean> {
    if (change === "withdraw") {
        // Through the store alone; with peers it takes one exchange.
        cluster.arePeersReachable = false;
        const call = cluster.nodes[0]!.withdrawals.withdrawKey(keyId, "o");
        await cluster.finish(call);
        return (node) =>
            !node.accepts(keyId) && node.registry.findKey(buildSecret(keyId)).type === "withdrawn";
    }
    const content = `{customers: [{name: extra-${String(round)}}]}`;
    const changes = [{ name: `extra${String(round)}.yaml`, content }];
    const result = await cluster.finish(cluster.createOperator().applyChanges({ author: "o", changes }));
    const revision = result.type === "applied" ? result.revision : Number.POSITIVE_INFINITY;
    return (node) => (node.configuration.readCurrent()?.revision ?? 0) >= revision;
}

async function waitForAll(
    cluster: Cluster,
    pauseMs: number,
    isInForce: (node: Cluster["nodes"][number]) => boolean,
): Promise<number[]> {
    const times = new Map<number, number>();
    const paused = cluster.nodes[nodeCount - 1]!;
    if (pauseMs > 0) {
        paused.gate.close();
    }
    for (let passedMs = 0; times.size < nodeCount && passedMs < 60_000; passedMs += stepMs) {
        if (passedMs >= pauseMs) {
            paused.gate.open();
        }
        await settle();
        for (const node of cluster.nodes.filter((node) => !times.has(node.index) && isInForce(node))) {
            times.set(node.index, passedMs);
        }
        await cluster.advance(stepMs);
    }
    expect(times.size).toBe(nodeCount);
    return [...times.values()];
}

function describeTimes(times: readonly number[]): { median: number; p99: number; worst: number } {
    const at = (share: number): number =>
        times[Math.min(times.length - 1, Math.floor(times.length * share))] ?? 0;
    return { median: at(0.5), p99: at(0.99), worst: at(1) };
}

describe(`time from an answer to the operator until ${String(nodeCount)} nodes act on it`, () => {
    it.each(propagationCases)("configuration: $title", async (situation) => {
        const times = describeTimes(await measurePropagation(situation, "apply"));
        console.info(`configuration, ${situation.title}: ${JSON.stringify(times)} ms`);
        expect(times.median).toBeLessThan(medianTargetMs);
        expect(times.worst).toBeLessThan(worstTargetMs);
    });

    it.each(propagationCases.filter((situation) => situation.pauseMs === 0))(
        "withdrawal: $title",
        async (situation) => {
            const times = describeTimes(await measurePropagation(situation, "withdraw"));
            console.info(`withdrawal, ${situation.title}: ${JSON.stringify(times)} ms`);
            expect(times.worst).toBeLessThan(withdrawalTargetMs);
        },
    );
});
