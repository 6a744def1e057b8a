/**
 * The daemon of an entry host as a library: request path, configuration, keys, peers and operator interface.
 *
 * @packageDocumentation
 */
import { TieredScheduler } from "@pimentocleat/policy";
import type { Settings } from "@pimentocleat/schema";
import { TableClaimStore } from "@pimentocleat/state";
import { formatIncarnation, isReplaced, type NodeIncarnation } from "../duties/incarnation.js";
import { NodeDuties } from "../duties/nodeDuties.js";
import type { NodeHandle, NodeOptions } from "../lifecycle/nodeOptions.js";
import { startNode } from "../lifecycle/startNode.js";
import type { NodeLimits } from "../limits/nodeLimits.js";
import type { NodeStatus, OperatorBackend } from "../operator/operatorBackend.js";
import { OperatorServer } from "../operator/operatorServer.js";
import { PeerNetwork } from "../peers/peerNetwork.js";
import type { DaemonAddresses, DaemonOptions } from "./daemonOptions.js";
import { buildStoreFollowerParts, type StoreFollowerParts } from "./storeFollowerParts.js";
import { GatedConfiguration } from "./gatedConfiguration.js";
import { NodeDirectory } from "./nodeDirectory.js";
import { RecordPublisher } from "./recordPublisher.js";
import { NoUsage, type NodeUsage } from "./nodeUsage.js";

/** The daemon of one entry host. */
export class Daemon {
    private readonly followerParts: StoreFollowerParts;
    private readonly network: PeerNetwork;
    private readonly operatorServer: OperatorServer;
    private readonly publisher: RecordPublisher;
    private readonly directory = new NodeDirectory();
    private usage: NodeUsage;
    private duties: NodeDuties | undefined;
    private readonly stopping = new AbortController();
    private readonly tasks: Promise<void>[] = [];
    private node: NodeHandle | undefined;
    private addresses: DaemonAddresses = { caller: "", operator: "", peer: "" };
    private stopPromise: Promise<void> | undefined;

    /** @param options - Settings, services, recorders and clock. */
    constructor(private readonly options: DaemonOptions) {
        this.usage = options.usage ?? new NoUsage();
        this.followerParts = buildStoreFollowerParts(options, () => this.network.listMembers().length + 1);
        this.network = this.buildNetwork();
        this.publisher = this.buildPublisher();
        this.operatorServer = new OperatorServer({
            backend: this.buildBackend(),
            credential: options.settings.operatorCredential,
            logger: options.logger,
        });
    }

    /**
     * Opens the listeners and starts following the store; the node becomes ready once it has a configuration.
     *
     * @returns The addresses in use.
     */
    async start(): Promise<DaemonAddresses> {
        const { settings } = this.options;
        const operator = await this.operatorServer.open(...parseAddress(settings.operatorAddress));
        this.setBridgeDependencies();
        const peer = await this.network.open();
        await this.followerParts.follower.pollOnce();
        this.duties = this.buildDuties();
        this.usage = this.options.usage ?? this.duties.usage;
        this.node = await startNode(this.buildNodeOptions());
        this.addresses = { caller: this.node.callerAddress, operator, peer };
        this.tasks.push(
            this.followerParts.follower.run(this.stopping.signal),
            this.publisher.run(this.stopping.signal),
            this.duties.run(this.stopping.signal),
        );
        return this.addresses;
    }

    /** Stops gracefully: finishes every request, releases the leases, leaves the peer network and closes. */
    stop(): Promise<void> {
        this.stopPromise ??= this.close(
            async () => this.node?.stop(),
            async () => this.duties?.releaseLeases(),
        );
        return this.stopPromise;
    }

    /** Stops immediately; running requests fail. */
    abort(): Promise<void> {
        return this.close(async () => this.node?.abort());
    }

    /** @returns The state of this node. */
    readStatus(): NodeStatus {
        const { name, dataCentre } = this.options.settings;
        return {
            name,
            dataCentre,
            state: this.readState(),
            revision: this.followerParts.configuration.readRevision(),
            callerAddress: this.addresses.caller,
            operatorAddress: this.addresses.operator,
        };
    }

    private async close(
        stopNode: () => Promise<void>,
        releaseLeases = (): Promise<void> => Promise.resolve(),
    ): Promise<void> {
        const steps: Readonly<Record<string, () => Promise<unknown>>> = {
            node: stopNode,
            tasks: () => {
                this.stopping.abort();
                return Promise.all(this.tasks);
            },
            leases: releaseLeases,
            peers: () => this.network.close(),
            operator: () => this.operatorServer.close(),
            services: () => this.options.services.close(),
            metrics: () => this.options.metrics.close(),
        };
        for (const [name, step] of Object.entries(steps)) {
            await this.runStopStep(name, step);
        }
    }

    /** Logs the failure of a shutdown step, so that the later steps still close their resources. */
    private async runStopStep(name: string, step: () => Promise<unknown>): Promise<void> {
        try {
            await step();
        } catch (error) {
            this.options.logger.writeEvent("stopStepFailed", { step: name, reason: String(error) });
        }
    }

    private readState(): string {
        const reason = this.followerParts.follower.readNotReadyReason();
        if (reason !== undefined) {
            return reason;
        }
        if (this.stopPromise !== undefined) {
            return "stopping";
        }
        return this.node?.isReady() === true ? "ready" : "starting";
    }

    private setBridgeDependencies(): void {
        const { bridge, configuration, registry, withdrawals, follower } = this.followerParts;
        bridge.setDependencies({
            network: this.network,
            configuration,
            registry,
            withdrawals,
            directory: this.directory,
            requestPoll: () => follower.requestPoll(),
            readNode: () => this.node,
            storeUsageCopy: (copy) => this.usage.storeCopy(copy),
            readDuties: () => this.duties,
        });
    }

    private buildNetwork(): PeerNetwork {
        const { settings, services, clock, random, logger } = this.options;
        return new PeerNetwork({
            name: settings.name,
            dataCentre: settings.dataCentre,
            listenAddress: settings.peerAddress,
            secret: settings.peerSecret,
            clock,
            random,
            hostList: services.hostList,
            seedAddresses: settings.peerSeeds,
            handlers: this.followerParts.bridge,
            logger,
        });
    }

    /** Returns this node's name and the incarnation that its peers know; the peer network must be open. */
    private readIncarnation(): NodeIncarnation {
        const incarnation = this.network.readIdentity()?.incarnation ?? 0;
        return { name: this.options.settings.name, incarnation };
    }

    private buildDuties(): NodeDuties {
        const { services, clock, random, logger } = this.options;
        const { tableService, hostList, orderingService, reportService } = services;
        return new NodeDuties({
            ...this.readIncarnation(),
            tableService,
            hostList,
            orderingService,
            reportService,
            clock,
            random,
            logger,
            listMembers: () => this.network.listMembers(),
            copyUsage: (copy) => this.network.calls.copyUsage(copy),
            listPools: () => this.followerParts.configuration.readCurrent()?.configuration.pools ?? [],
            listSummaries: () => this.publisher.listLastSummaries(),
        });
    }

    private buildPublisher(): RecordPublisher {
        return new RecordPublisher({
            clock: this.options.clock,
            sendRecords: (entries) => this.network.sendRecords(entries),
            readStatus: () => this.readStatus(),
            takeSummaries: (isSelected) => this.node?.takePoolSummaries(isSelected) ?? [],
            takeLimitUsage: () => this.node?.summarizeLimits(),
        });
    }

    private buildNodeOptions(): NodeOptions {
        const { settings, services, logger, metrics, clock, random, readCredential } = this.options;
        const [host, port] = parseAddress(settings.callerAddress);
        const { configuration, registry, follower } = this.followerParts;
        const isServingAllowed = (): boolean => follower.readNotReadyReason() === undefined;
        return {
            name: settings.name,
            dataCentre: settings.dataCentre,
            callerAddress: { host, port },
            configuration: new GatedConfiguration({ source: configuration, isServingAllowed }),
            keys: registry,
            claims: new TableClaimStore({
                tableService: services.tableService,
                clock,
                random,
                logger,
                countNodes: () => this.network.listMembers().length + 1,
                owner: formatIncarnation(this.readIncarnation()),
                isOwnerDead: (owner) =>
                    isReplaced(owner, [this.readIncarnation(), ...this.network.listMembers()]),
            }),
            usage: this.usage.recorder,
            hosts: services.hostList,
            logger,
            metrics,
            clock,
            createScheduler: (poolConfiguration) =>
                new TieredScheduler({ configuration: poolConfiguration, clock, node: settings.name }),
            limits: { ...selectLimits(settings), ...this.options.limits },
            ...(readCredential === undefined ? {} : { readCredential }),
            flushUsage: () => this.usage.flush(),
        };
    }

    private buildBackend(): OperatorBackend {
        const { store, registry, withdrawals, configuration, follower } = this.followerParts;
        return {
            configurationStore: store,
            pollStore: () => follower.pollOnce(),
            withdrawKey: (keyId, author) => withdrawals.withdrawKey(keyId, author),
            listKeys: () =>
                registry.listKeys().map((key) => ({ key, isWithdrawn: registry.isWithdrawn(key.id) })),
            isWithdrawn: (keyId) => registry.isWithdrawn(keyId),
            readStatus: () => this.readStatus(),
            countRequests: () => this.node?.countRequests() ?? 0,
            countUnrecordedWithdrawals: () => registry.listUnrecorded().length,
            listNodes: () => this.directory.listNodes(this.readStatus(), this.network.listMembers()),
            listPools: () => {
                const statuses = this.node?.listPoolStatuses();
                const pools = configuration.readCurrent()?.configuration.pools ?? [];
                return pools.map((pool) => ({ pool, status: statuses?.get(pool.name) }));
            },
            findTrace: (requestId) => this.node?.findTrace(requestId),
        };
    }
}

/** Selects the limits of the request path that have a setting. */
function selectLimits(settings: Settings): Partial<NodeLimits> {
    return {
        maximumBodyBytes: settings.maximumBodyBytes,
        maximumHeaderBytes: settings.maximumHeaderBytes,
        headersTimeoutMs: settings.headerTimeoutMs,
        requestTimeoutMs: settings.requestTimeoutMs,
        keepAliveMs: settings.keepAliveTimeoutMs,
        drainDelayMs: settings.drainDelayMs,
    };
}

function parseAddress(address: string): [string, number] {
    const [host = "", port = "0"] = address.split(":");
    return [host, Number(port)];
}
