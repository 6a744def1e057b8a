/**
 * Runs real node processes under steady load while some of them are partitioned from all backend servers.
 *
 * @packageDocumentation
 */
import { fileURLToPath } from "node:url";
import {
    sendUsersCall,
    UsersDeployment,
    usersPrompt,
    type UsersCallOptions,
    type UsersNode,
} from "@pimentocleat/standins";
import { SystemClock } from "@pimentocleat/types";
import type { PartitionPlan, PlannedPartition } from "./partitionPlan.js";

/** The outcome of one call, which its caller does not repeat. */
export interface PartitionCall {
    readonly kind: string;
    /** Whether its node was partitioned. */
    readonly isCut: boolean;
    /** Time of the call after the partition began, in milliseconds. */
    readonly startMs: number;
    /** Status of the response, or why there was none. */
    readonly outcome: string;
    readonly isServed: boolean;
    readonly elapsedMs: number;
}

/** One partition and the calls during it. */
export interface PartitionRecord {
    readonly planned: PlannedPartition;
    readonly calls: readonly PartitionCall[];
}

/** How calls fared at partitioned nodes and at the others. */
export interface PartitionShares {
    readonly cut: CallCount;
    readonly others: CallCount;
}

/** A number of calls. */
export interface CallCount {
    readonly count: number;
    readonly served: number;
}

/** Time after which callers of partitioned nodes must be served like those of others, in milliseconds. */
export const contactMs = 3_000;
/** Share of the calls of a node, in relation to others, that must be served. */
const requiredShare = 2 / 3;
/** Failures that are allowed whatever the share. */
const allowedFailures = 10;
const allowedFailureShare = 1 / 50;
/** Calls per second to each node. */
const callsPerSecond = 2.5;
const settleMs = 2_500;
const millisecondsPerSecond = 1_000;
const plainCount = 4;
const engineCount = 16;
const programPath = fileURLToPath(new URL("../../bin/linkedNode.js", import.meta.url));

const prompt: UsersCallOptions = { ...usersPrompt, deadlineMs: 6_000 };
const calls: readonly (readonly [string, UsersCallOptions])[] = [
    ["/stream/x", prompt],
    ["/unsafe/x", { method: "POST", body: "order", deadlineMs: 1_200 }],
    ["/resumable/x", prompt],
    ["/safe/x", { deadlineMs: 1_000 }],
];

/** Runs one deployment through planned partitions. */
export class PartitionRun {
    private readonly clock = new SystemClock();
    private readonly deployment: UsersDeployment;
    private readonly pending = new Set<Promise<void>>();
    private recorded: PartitionCall[] = [];
    private cutNodes = new Set<UsersNode>();
    private cutStartMs = 0;
    private isRunning = true;

    /**
     * @param plan - The deployment and the partitions.
     * @param adapterPath - Path of the module of the platform's adapter.
     */
    constructor(
        private readonly plan: PartitionPlan,
        adapterPath: string,
    ) {
        this.deployment = new UsersDeployment({
            programPath,
            programParameters: [adapterPath, plan.failure],
            nodeCount: plan.dataCentres.length,
            dataCentreOfNodes: plan.dataCentres,
            usageWindowSeconds: 5,
            plainCount,
            engineCount,
        });
    }

    /**
     * Runs the load and the partitions.
     *
     * @param onRecord - Called after each partition.
     * @returns The partitions and the calls during them.
     */
    async run(onRecord: (record: PartitionRecord) => void = () => undefined): Promise<PartitionRecord[]> {
        const { deployment } = this;
        const records: PartitionRecord[] = [];
        try {
            await deployment.start();
            const loads = deployment.nodes.map((node, index) => this.sendLoad(node, index));
            for (const planned of this.plan.partitions) {
                await this.clock.wait(settleMs);
                const record = { planned, calls: await this.applyPartition(planned) };
                records.push(record);
                onRecord(record);
            }
            this.isRunning = false;
            await Promise.all([...loads, ...this.pending]);
            return records;
        } finally {
            this.isRunning = false;
            await deployment.stop();
        }
    }

    /** @returns What the nodes have logged. */
    readLogs(): string {
        return this.deployment.nodes.map(({ program }) => program.readStdout()).join("");
    }

    private async applyPartition({ nodes, durationMs }: PlannedPartition): Promise<readonly PartitionCall[]> {
        this.cutNodes = new Set(nodes.map((index) => this.deployment.nodes[index]!));
        this.recorded = [];
        this.cutStartMs = this.clock.monotonicMs();
        this.cutNodes.forEach(({ program }) => program.sendSignal("SIGUSR2"));
        await this.clock.wait(durationMs);
        const recorded = this.recorded;
        await Promise.all(this.pending);
        this.cutNodes.forEach(({ program }) => program.sendSignal("SIGUSR2"));
        return recorded.filter(({ startMs }) => startMs < durationMs);
    }

    private async sendLoad(node: UsersNode, index: number): Promise<void> {
        const intervalMs = millisecondsPerSecond / callsPerSecond;
        await this.clock.wait((intervalMs * index) / this.deployment.nodes.length);
        for (let number = index; this.isRunning; number += 1) {
            const call = this.sendCall(node, calls[number % calls.length]!);
            this.pending.add(call);
            void call.then(() => this.pending.delete(call));
            await this.clock.wait(intervalMs);
        }
    }

    private async sendCall(
        node: UsersNode,
        [path, options]: readonly [string, UsersCallOptions],
    ): Promise<void> {
        const { recorded } = this;
        const atMs = this.clock.monotonicMs();
        const startMs = atMs - this.cutStartMs;
        const isCut = this.cutNodes.has(node);
        const outcome = await sendUsersCall(node.callerAddress, path, options).then(
            ({ status, isBroken }) => `${String(status)}${isBroken ? " truncated" : ""}`,
            (error: unknown) => String(error),
        );
        const elapsedMs = this.clock.monotonicMs() - atMs;
        const isServed = outcome === "200";
        recorded.push({ kind: path, isCut, startMs, outcome, isServed, elapsedMs });
    }
}

/**
 * Counts the calls that began in a part of a partition.
 *
 * @param record - The partition.
 * @param startMs - Start of the part, in milliseconds after that of the partition.
 * @param endMs - End of the part.
 * @returns The calls to partitioned nodes and to others.
 */
export function countCalls({ calls: all }: PartitionRecord, startMs: number, endMs: number): PartitionShares {
    const within = all.filter((call) => call.startMs >= startMs && call.startMs < endMs);
    const count = (isCut: boolean): CallCount => {
        const group = within.filter((call) => call.isCut === isCut);
        return { count: group.length, served: group.filter(({ isServed }) => isServed).length };
    };
    return { cut: count(true), others: count(false) };
}

/**
 * Checks whether callers of partitioned nodes are served like those of the others.
 *
 * @param record - The partition.
 * @returns Whether they are.
 */
export function isServedAlike(record: PartitionRecord): boolean {
    const { cut, others } = countCalls(record, contactMs, Number.POSITIVE_INFINITY);
    const failed = cut.count - cut.served;
    const isFew = failed <= allowedFailures + cut.count * allowedFailureShare;
    return isFew || cut.served * others.count >= requiredShare * others.served * cut.count;
}
