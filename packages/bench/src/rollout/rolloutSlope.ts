/**
 * Time until a change of the configuration or a withdrawal of a key is in force on every node, and the
 * calls that the nodes make to the platform meanwhile.
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
const suspensionMs = 3_000;
const slowStoreDelayMs = 500;

/** Figures of a deployment without requests. */
interface IdleFigures {
    /** Reads and writes of all nodes. */
    readonly readsPerSecond: number;
    readonly writesPerSecond: number;
    /** Share of a core that a node uses on average. */
    readonly processorPercent: number;
    /** Resident memory of the largest node. */
    readonly residentMegabytes: number;
}

/** Measures rollouts with nodes as processes. */
export class RolloutSlope implements Slope {
    readonly name = "rollout";
    readonly description = "save to in force and withdrawal to refusal on every node, and store calls";
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
            frozenOthersWorstMs: Math.max(...suspended.others),
            thawToInForceMs: suspended.thawed,
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
    ): Promise<{ readonly others: readonly number[]; readonly thawed: number }> {
        const suspendedNode = deployment.processes.nodes.length - 1;
        const program = deployment.processes.nodes[suspendedNode]?.program;
        program?.sendSignal("SIGSTOP");
        const startMs = this.clock.monotonicMs();
        const revision = await deployment.applyChange();
        const others = await this.waitForAllNodes(deployment, revision, startMs, suspendedNode);
        await this.clock.wait(suspensionMs);
        const resumeMs = this.clock.monotonicMs();
        program?.sendSignal("SIGCONT");
        const thawed = await deployment.waitForRevision(suspendedNode, revision, resumeMs);
        return { others, thawed };
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
        const usesBefore = await this.readNodeUsages(deployment);
        const before = await deployment.readPlatformCallCounts();
        await this.clock.wait(durationMs);
        const after = await deployment.readPlatformCallCounts();
        const uses = await this.readNodeUsages(deployment);
        const usedMs = uses.reduce((sum, use) => sum + use.processorMs, 0);
        const usedBeforeMs = usesBefore.reduce((sum, use) => sum + use.processorMs, 0);
        const countPerSecond = (service: string, call: string): number =>
            (readCount(after, service, call) - readCount(before, service, call)) / (durationMs / 1_000);
        return {
            readsPerSecond:
                countPerSecond("table", "read") +
                countPerSecond("table", "scan") +
                countPerSecond("objects", "get"),
            writesPerSecond: countPerSecond("table", "commit") + countPerSecond("objects", "put"),
            processorPercent: (100 * (usedMs - usedBeforeMs)) / durationMs / uses.length,
            residentMegabytes: Math.max(...uses.map((use) => use.residentMegabytes)),
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
        exceptNode?: number,
    ): Promise<number[]> {
        const nodes = deployment.processes.nodes
            .map((...[, node]) => node)
            .filter((node) => node !== exceptNode);
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
