/**
 * Measures the time until a configuration change or a key withdrawal is active on every node, and the platform
 * calls and resources of idle nodes.
 *
 * @packageDocumentation
 */
import { SystemClock } from "@pimentocleat/types";
import { fileURLToPath } from "node:url";
import type { Slope, SlopeOptions, SlopePoint, SlopeResult } from "../slopes/slope.js";
import { readProcessUsage, type ProcessUsage } from "./processUsage.js";
import { RolloutDeployment, type PlatformCallCounts } from "./rolloutDeployment.js";

const examplePath = fileURLToPath(new URL("../../../../examples/volantino", import.meta.url));
const nodeCounts = [3, 9];
const changesPerPoint = 10;
const withdrawalsPerPoint = 5;
/** Time for which a node stays suspended after a change is active on the other nodes, in milliseconds. */
const suspensionMs = 3_000;
/** Delay of each store call in the measurement with a slow store, in milliseconds. */
const slowStoreDelayMs = 500;

/** Platform calls and resources of a deployment without caller requests. */
interface IdleFigures {
    /** Store reads of all nodes together. */
    readonly readsPerSecond: number;
    /** Store writes of all nodes together. */
    readonly writesPerSecond: number;
    /** Average processor usage per node, in percent of one core. */
    readonly processorPercent: number;
    /** Resident memory of the node that uses the most. */
    readonly residentMegabytes: number;
}

/** Measures rollouts of changes with nodes that run as processes. */
export class RolloutSlope implements Slope {
    readonly name = "rollout";
    readonly description = "time until changes and key withdrawals are active on every node, and store calls";
    private readonly clock = new SystemClock();

    async measureSlope(options: SlopeOptions): Promise<SlopeResult> {
        const points: SlopePoint[] = [];
        for (const size of nodeCounts) {
            const deployment = await RolloutDeployment.start(examplePath, size);
            try {
                points.push({ size, figures: await this.measureDeployment(deployment, options) });
            } finally {
                await deployment.stop();
            }
        }
        return { name: this.name, sizeName: "nodes", seed: options.seed, points };
    }

    private async measureDeployment(
        deployment: RolloutDeployment,
        options: SlopeOptions,
    ): Promise<Record<string, number>> {
        const normal = await this.measureChanges(deployment);
        await deployment.setPlatformFaults([{ kind: "delay", service: "table", delayMs: slowStoreDelayMs }]);
        const withSlowStore = await this.measureChanges(deployment);
        await deployment.setPlatformFaults([]);
        const suspended = await this.measureSuspendedNode(deployment);
        const withdrawals = await this.measureWithdrawals(deployment);
        const idle = await this.measureIdleDeployment(deployment, options.durationMs);
        return {
            calmMedianMs: computeMedian(normal),
            calmWorstMs: Math.max(...normal),
            slowStoreMedianMs: computeMedian(withSlowStore),
            slowStoreWorstMs: Math.max(...withSlowStore),
            frozenOthersWorstMs: Math.max(...suspended.otherNodesMs),
            thawToInForceMs: suspended.resumedMs,
            withdrawalMedianMs: computeMedian(withdrawals),
            withdrawalWorstMs: Math.max(...withdrawals),
            readsPerSecond: idle.readsPerSecond,
            writesPerSecond: idle.writesPerSecond,
            idlePercentOfCore: idle.processorPercent,
            residentMegabytes: idle.residentMegabytes,
        };
    }

    private async measureChanges(deployment: RolloutDeployment): Promise<number[]> {
        const times: number[] = [];
        for (let change = 0; change < changesPerPoint; change += 1) {
            const startMs = this.clock.monotonicMs();
            const revision = await deployment.applyChange();
            times.push(...(await this.waitForAllNodes(deployment, revision, startMs)));
        }
        return times;
    }

    private async measureSuspendedNode(
        deployment: RolloutDeployment,
    ): Promise<{ readonly otherNodesMs: readonly number[]; readonly resumedMs: number }> {
        const suspendedNode = deployment.processes.nodes.length - 1;
        const program = deployment.processes.nodes[suspendedNode]?.program;
        program?.sendSignal("SIGSTOP");
        const startMs = this.clock.monotonicMs();
        const revision = await deployment.applyChange();
        const otherNodesMs = await this.waitForAllNodes(deployment, revision, startMs, suspendedNode);
        await this.clock.wait(suspensionMs);
        const resumeMs = this.clock.monotonicMs();
        program?.sendSignal("SIGCONT");
        const resumedMs = await deployment.waitForRevision(suspendedNode, revision, resumeMs);
        return { otherNodesMs, resumedMs };
    }

    private async measureWithdrawals(deployment: RolloutDeployment): Promise<number[]> {
        const times: number[] = [];
        for (let index = 0; index < withdrawalsPerPoint; index += 1) {
            const keyId = `rollout-${index}`;
            const secret = await deployment.createKey(keyId);
            const startMs = this.clock.monotonicMs();
            await deployment.withdrawKey(keyId);
            const nodes = deployment.listNodes();
            times.push(
                ...(await Promise.all(nodes.map((node) => deployment.waitForRefusal(node, secret, startMs)))),
            );
        }
        return times;
    }

    private async measureIdleDeployment(
        deployment: RolloutDeployment,
        durationMs: number,
    ): Promise<IdleFigures> {
        const usagesBefore = await this.readNodeUsages(deployment);
        const before = await deployment.readPlatformCallCounts();
        await this.clock.wait(durationMs);
        const after = await deployment.readPlatformCallCounts();
        const usages = await this.readNodeUsages(deployment);
        const usedMs = usages.reduce((sum, usage) => sum + usage.processorMs, 0);
        const usedBeforeMs = usagesBefore.reduce((sum, usage) => sum + usage.processorMs, 0);
        const countPerSecond = (service: string, call: string): number =>
            (readCount(after, service, call) - readCount(before, service, call)) / (durationMs / 1_000);
        return {
            readsPerSecond:
                countPerSecond("table", "read") +
                countPerSecond("table", "scan") +
                countPerSecond("objects", "get"),
            writesPerSecond: countPerSecond("table", "commit") + countPerSecond("objects", "put"),
            processorPercent: (100 * (usedMs - usedBeforeMs)) / durationMs / usages.length,
            residentMegabytes: Math.max(...usages.map((usage) => usage.residentMegabytes)),
        };
    }

    private readNodeUsages(deployment: RolloutDeployment): Promise<ProcessUsage[]> {
        return Promise.all(
            deployment.processes.nodes.map((node) => readProcessUsage(node.program.processId)),
        );
    }

    private async waitForAllNodes(
        deployment: RolloutDeployment,
        revision: number,
        startMs: number,
        excludedNode?: number,
    ): Promise<number[]> {
        const nodes = deployment.processes.nodes
            .map((...[, node]) => node)
            .filter((node) => node !== excludedNode);
        return Promise.all(nodes.map((node) => deployment.waitForRevision(node, revision, startMs)));
    }
}

function readCount(calls: PlatformCallCounts, service: string, call: string): number {
    return calls[service]?.[call] ?? 0;
}

function computeMedian(values: readonly number[]): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
