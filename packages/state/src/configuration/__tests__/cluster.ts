/**
 * A cluster of operators and nodes in one process, on a table service in memory, with store outages, lost replies,
 * paused nodes, network partitions and restarts. The oracle checks the invariants after every step.
 */
import { createHash } from "node:crypto";
import { MemoryTableService, type CallFault, type TableService } from "@pimentocleat/services";
import { SilentLogger } from "@pimentocleat/telemetry";
import { ManualClock, type WaitingClock } from "@pimentocleat/types";
import { ConfiguredKeyRegistry } from "../../keys/configuredKeyRegistry.js";
import { WithdrawalFollower, type WithdrawalFollowerOptions } from "../../keys/withdrawalFollower.js";
import { WithdrawalStore } from "../../keys/withdrawalStore.js";
import { BoundedTableService } from "../../retrying/boundedTableService.js";
import { ConfigurationFollower, type ConfigurationFollowerOptions } from "../configurationFollower.js";
import type { ConfigurationSnapshot } from "../configurationSnapshot.js";
import { defaultRetryDelays, defaultCallTimeoutMs, CallRetrier } from "../callRetrier.js";
import { StoreFollower } from "../storeFollower.js";
import { TableConfigurationStore } from "../tableConfigurationStore.js";
import type { KeyWithdrawal } from "../../keys/withdrawal.js";

export const pollMs = 1_000;
export const isolationLimitMs = 10_000;
/**
 * Maximum time from the response to the operator until a node has applied the change while the store responds: a poll
 * that began just before, the wait after it (up to 1.5 times the interval) and the next poll.
 */
export const convergenceBoundMs = 2 * defaultCallTimeoutMs + 1.5 * pollMs;

/** The parts of a cluster that a mutant may replace. */
export interface ClusterParts {
    readonly wrapOperatorTable: (table: TableService) => TableService;
    readonly createConfigurationFollower: (options: ConfigurationFollowerOptions) => ConfigurationFollower;
    readonly createWithdrawalFollower: (options: WithdrawalFollowerOptions) => WithdrawalFollower;
    readonly isolationLimitMs: number;
}

export const defaultParts: ClusterParts = {
    wrapOperatorTable: (table) => table,
    createConfigurationFollower: (options) => new ConfigurationFollower(options),
    createWithdrawalFollower: (options) => new WithdrawalFollower(options),
    isolationLimitMs,
};

export function buildSecret(keyId: string): string {
    return `secret-of-${keyId}`;
}

export function buildDigest(keyId: string): string {
    return createHash("sha256").update(buildSecret(keyId)).digest("hex");
}

/** Creates a seeded linear congruential generator, so that runs are reproducible. */
export function createRandom(seed: number): () => number {
    let state = seed >>> 0;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}

/** Delays the results of all calls of a process while it is paused. */
class PauseGate {
    private opened: Promise<void> = Promise.resolve();
    private release: (() => void) | undefined;

    get isClosed(): boolean {
        return this.release !== undefined;
    }

    close(): void {
        this.opened = new Promise((resolve) => (this.release = resolve));
    }

    open(): void {
        this.release?.();
        this.release = undefined;
    }

    async waitUntilOpen<Result>(result: Promise<Result>): Promise<Result> {
        try {
            return await result;
        } finally {
            await this.opened;
        }
    }
}

class GatedTable implements TableService {
    constructor(
        private readonly inner: TableService,
        private readonly gate: PauseGate,
    ) {}
    readRow(...call: Parameters<TableService["readRow"]>) {
        return this.gate.waitUntilOpen(this.inner.readRow(...call));
    }
    scanRows(...call: Parameters<TableService["scanRows"]>) {
        return this.gate.waitUntilOpen(this.inner.scanRows(...call));
    }
    commitTransaction(...call: Parameters<TableService["commitTransaction"]>) {
        return this.gate.waitUntilOpen(this.inner.commitTransaction(...call));
    }
}

export class ClusterNode {
    readonly gate = new PauseGate();
    readonly configuration: ConfigurationFollower;
    readonly registry: ConfiguredKeyRegistry;
    readonly withdrawals: WithdrawalFollower;
    readonly follower: StoreFollower;
    readonly controller = new AbortController();
    /** The clock and the store as the node sees them; their results are delayed while the node is paused. */
    readonly clock: WaitingClock;
    readonly tableService: TableService;
    isCut = false;
    /** Time at which the node was last neither paused nor partitioned, in monotonic milliseconds; for the oracle. */
    lastReachableMs: number;
    readonly seenWithdrawn = new Set<string>();
    private highestRevision = 0;

    constructor(
        cluster: Cluster,
        readonly index: number,
        seed: number,
    ) {
        this.clock = {
            monotonicMs: () => cluster.clock.monotonicMs(),
            wallMs: () => cluster.clock.wallMs(),
            wait: (durationMs, signal) => this.gate.waitUntilOpen(cluster.clock.wait(durationMs, signal)),
        };
        const { clock } = this;
        const table = new GatedTable(cluster.table, this.gate);
        const logger = new SilentLogger();
        const random = createRandom(seed);
        const retrier = new CallRetrier({ clock, random, ...defaultRetryDelays });
        this.tableService = new BoundedTableService({
            tableService: cluster.buildNodeTable(table, this),
            clock,
            callTimeoutMs: defaultCallTimeoutMs,
        });
        const { tableService } = this;
        const peers = cluster.buildPeers(this);
        const store = new TableConfigurationStore({
            tableService,
            clock,
            random,
            // Nodes with an odd index always read only the files that changed.
            ...(index % 2 === 0 ? {} : { incrementalReadThreshold: 0 }),
        });
        this.configuration = cluster.parts.createConfigurationFollower({ store, peers, logger });
        this.registry = new ConfiguredKeyRegistry({ configuration: this.configuration, logger });
        this.withdrawals = cluster.parts.createWithdrawalFollower({
            registry: this.registry,
            store: new WithdrawalStore(tableService, retrier),
            peers,
            clock,
            logger,
        });
        this.follower = new StoreFollower({
            tableService,
            configuration: this.configuration,
            withdrawals: this.withdrawals,
            clock,
            logger,
            random,
            getPollIntervalMs: () => pollMs,
            isolationLimitMs: cluster.parts.isolationLimitMs,
        });
        this.lastReachableMs = cluster.clock.monotonicMs();
        void this.follower.run(this.controller.signal);
    }

    get isReady(): boolean {
        return this.follower.readNotReadyReason() === undefined;
    }

    /** Checks whether the node would accept a request with the key. */
    accepts(keyId: string): boolean {
        return this.isReady && this.registry.findKey(buildSecret(keyId)).type === "valid";
    }

    check(keyIds: readonly string[]): void {
        const revision = this.configuration.readCurrent()?.revision ?? 0;
        if (revision < this.highestRevision) {
            throw new Error(
                `node ${String(this.index)} reverted from ${String(this.highestRevision)} to ${String(revision)}`,
            );
        }
        this.highestRevision = revision;
        for (const keyId of keyIds) {
            const type = this.registry.findKey(buildSecret(keyId)).type;
            if (type === "withdrawn") {
                this.seenWithdrawn.add(keyId);
            } else if (type === "valid" && this.seenWithdrawn.has(keyId)) {
                throw new Error(`withdrawn key ${keyId} is valid again on node ${String(this.index)}`);
            }
        }
    }
}

export class Cluster<Node extends ClusterNode = ClusterNode> {
    readonly table = new MemoryTableService();
    readonly clock = new ManualClock();
    readonly random: () => number;
    readonly nodes: Node[] = [];
    isStoreDown = false;
    arePeersReachable = true;
    /** Share of the store calls that take effect but whose reply is lost. */
    lostReplyShare = 0;
    /** Share of the store calls that take effect only when `table.applyDelayedCommits` is called. */
    delayedEffectShare = 0;
    /** Delay of each call to the store, in milliseconds. */
    storeDelayMs = 0;
    incarnationCount = 0;
    /** Step by which the clock advances, in milliseconds. */
    protected readonly stepMs: number = 50;

    constructor(
        readonly parts: ClusterParts,
        nodeCount: number,
        protected readonly seed: number,
    ) {
        this.random = createRandom(seed);
        this.table.setFaultPlan(() => this.chooseFault());
        for (let index = 0; index < nodeCount; index += 1) {
            this.nodes.push(this.createNode(index));
        }
    }

    createNode(index: number): Node {
        this.incarnationCount += 1;
        return new ClusterNode(this, index, this.seed * 1_000 + this.incarnationCount) as Node;
    }

    createOperator(): TableConfigurationStore {
        const tableService = this.parts.wrapOperatorTable(this.table);
        return new TableConfigurationStore({ tableService, clock: this.clock, random: this.random });
    }

    restartNode(index: number): void {
        const old = this.nodes[index];
        old?.controller.abort();
        this.nodes[index] = this.createNode(index);
    }

    close(): void {
        this.nodes.forEach((node) => node.controller.abort());
    }

    /** Builds a node's access to the store, which may be slow or partitioned. */
    buildNodeTable(inner: TableService, node: { isCut: boolean }): TableService {
        const run = async <Result>(call: () => Promise<Result>): Promise<Result> => {
            await this.clock.wait(this.storeDelayMs);
            if (node.isCut) {
                // A partitioned call never returns; it ends with the timeout of the node.
                await this.clock.wait(Number.MAX_SAFE_INTEGER);
            }
            return call();
        };
        return {
            readRow: (...call) => run(() => inner.readRow(...call)),
            scanRows: (...call) => run(() => inner.scanRows(...call)),
            commitTransaction: (...call) => run(() => inner.commitTransaction(...call)),
        };
    }

    buildPeers(self: ClusterNode) {
        const list = () =>
            self.isCut || !this.arePeersReachable
                ? []
                : this.nodes.filter((node) => node !== self && !node.isCut && !node.gate.isClosed);
        return {
            readHighestSnapshot: (above: number): Promise<ConfigurationSnapshot | undefined> => {
                // The reachable peers may be outdated ones, and may ignore `above`.
                const peers = list().filter(() => this.random() < 0.5);
                const snapshots = peers.flatMap((node) => node.configuration.readSnapshot() ?? []);
                snapshots.sort((left, right) => right.revision - left.revision);
                return Promise.resolve(above >= 0 ? snapshots[0] : undefined);
            },
            spreadWithdrawals: (withdrawals: readonly KeyWithdrawal[]): Promise<number> => {
                list().forEach((node) => node.withdrawals.receiveWithdrawals(withdrawals));
                return Promise.resolve(list().length);
            },
            readWithdrawals: (): Promise<readonly KeyWithdrawal[] | undefined> => {
                const peers = list().filter((node) => node.withdrawals.hasLoaded());
                return Promise.resolve(
                    peers.length === 0 ? undefined : peers.flatMap((node) => node.registry.listWithdrawals()),
                );
            },
        };
    }

    /** Advances the clock in small steps and checks every node after each step. */
    async advance(durationMs: number, keyIds: readonly string[] = []): Promise<void> {
        for (let passedMs = 0; passedMs < durationMs; passedMs += this.stepMs) {
            this.clock.advance(this.stepMs);
            await settle();
            this.check(keyIds);
        }
    }

    async finish<Result>(call: Promise<Result>, keyIds: readonly string[] = []): Promise<Result> {
        let isDone = false;
        const done = call.finally(() => (isDone = true));
        done.catch(() => {});
        await settle();
        while (!isDone) {
            await this.advance(this.stepMs, keyIds);
        }
        return done;
    }

    check(keyIds: readonly string[]): void {
        const nowMs = this.clock.monotonicMs();
        for (const node of this.nodes) {
            node.check(keyIds);
            if (!node.isCut && !node.gate.isClosed) {
                node.lastReachableMs = nowMs;
            }
            if (node.isReady && nowMs - node.lastReachableMs > isolationLimitMs) {
                throw new Error(`node ${String(node.index)} accepts requests although it is cut off`);
            }
        }
    }

    private chooseFault(): CallFault {
        if (this.isStoreDown) {
            return "unavailable";
        }
        const drawn = this.random();
        if (drawn < this.lostReplyShare) {
            return "lostReply";
        }
        return drawn < this.lostReplyShare + this.delayedEffectShare ? "delayed" : "none";
    }
}

export async function settle(): Promise<void> {
    for (let turn = 0; turn < 3; turn += 1) {
        await new Promise(setImmediate);
    }
}
