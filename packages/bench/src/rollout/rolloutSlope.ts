/**
 * Time until a change of the configuration or a withdrawal of a key is in force on every node, and the
 * calls that the nodes make to the platform meanwhile.
 *
 * @packageDocumentation
 */
import { SystemClock } from "@pimentocleat/types";
import { fileURLToPath } from "node:url";
import type { Slope, SlopeOptions, SlopePoint, SlopeResult } from "../slopes/slope.js";
import { readProcessUse, type ProcessUse } from "./processUse.js";
import { RolloutDeployment, type PlatformCalls } from "./rolloutDeployment.js";

const examplePath = fileURLToPath(new URL("../../../../examples/volantino", import.meta.url));
const nodeCounts = [3, 9];
const changesPerPoint = 10;
const withdrawalsPerPoint = 5;
const frozenMs = 3_000;
const slowStoreDelayMs = 500;

/** Figures of a deployment without requests. */
interface CalmFigures {
    /** Reads and writes of all nodes. */
    readonly reads: number;
    readonly writes: number;
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
        const calm = await this.measureChanges(deployment);
        await deployment.setPlatformFaults([{ kind: "delay", service: "table", delayMs: slowStoreDelayMs }]);
        const slow = await this.measureChanges(deployment);
        await deployment.setPlatformFaults([]);
        const frozen = await this.measureFrozenNode(deployment);
        const withdrawals = await this.measureWithdrawals(deployment);
        const calls = await this.measureCalls(deployment, options.durationMs);
        return {
            calmMedianMs: computeMedian(calm),
            calmWorstMs: Math.max(...calm),
            slowStoreMedianMs: computeMedian(slow),
            slowStoreWorstMs: Math.max(...slow),
            frozenOthersWorstMs: Math.max(...frozen.others),
            thawToInForceMs: frozen.thawed,
            withdrawalMedianMs: computeMedian(withdrawals),
            withdrawalWorstMs: Math.max(...withdrawals),
            readsPerSecond: calls.reads,
            writesPerSecond: calls.writes,
            idlePercentOfCore: calls.processorPercent,
            residentMegabytes: calls.residentMegabytes,
        };
    }

    private async measureChanges(deployment: RolloutDeployment): Promise<number[]> {
        const times: number[] = [];
        for (let change = 0; change < changesPerPoint; change += 1) {
            const startMs = this.clock.monotonicMs();
            const revision = await deployment.applyChange();
            times.push(...(await this.waitForAll(deployment, revision, startMs)));
        }
        return times;
    }

    private async measureFrozenNode(
        deployment: RolloutDeployment,
    ): Promise<{ readonly others: readonly number[]; readonly thawed: number }> {
        const frozen = deployment.processes.nodes.length - 1;
        const program = deployment.processes.nodes[frozen]?.program;
        program?.sendSignal("SIGSTOP");
        const startMs = this.clock.monotonicMs();
        const revision = await deployment.applyChange();
        const others = await this.waitForAll(deployment, revision, startMs, frozen);
        await this.clock.wait(frozenMs);
        const thawMs = this.clock.monotonicMs();
        program?.sendSignal("SIGCONT");
        const thawed = await deployment.waitForRevision(frozen, revision, thawMs);
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

    private async measureCalls(deployment: RolloutDeployment, durationMs: number): Promise<CalmFigures> {
        const usesBefore = await this.readNodeUses(deployment);
        const before = await deployment.readPlatformCalls();
        await this.clock.wait(durationMs);
        const after = await deployment.readPlatformCalls();
        const uses = await this.readNodeUses(deployment);
        const usedMs = uses.reduce((sum, use) => sum + use.processorMs, 0);
        const usedBeforeMs = usesBefore.reduce((sum, use) => sum + use.processorMs, 0);
        const countPerSecond = (service: string, call: string): number =>
            (readCount(after, service, call) - readCount(before, service, call)) / (durationMs / 1_000);
        return {
            reads:
                countPerSecond("table", "read") +
                countPerSecond("table", "scan") +
                countPerSecond("objects", "get"),
            writes: countPerSecond("table", "commit") + countPerSecond("objects", "put"),
            processorPercent: (100 * (usedMs - usedBeforeMs)) / durationMs / uses.length,
            residentMegabytes: Math.max(...uses.map((use) => use.residentMegabytes)),
        };
    }

    private readNodeUses(deployment: RolloutDeployment): Promise<ProcessUse[]> {
        return Promise.all(deployment.processes.nodes.map((node) => readProcessUse(node.program.processId)));
    }

    private async waitForAll(
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

function readCount(calls: PlatformCalls, service: string, call: string): number {
    return calls[service]?.[call] ?? 0;
}

function computeMedian(values: readonly number[]): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
