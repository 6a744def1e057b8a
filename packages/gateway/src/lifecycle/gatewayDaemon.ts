/**
 * A gateway node: callers on one side, backend servers on the other, the platform's store behind both.
 *
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import type { FastifyInstance } from "fastify";
import type { Logger, TextMetrics } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import { ConnectionPool } from "@pimentocleat/upstream";
import { ServerDirectory } from "../backends/serverDirectory.js";
import { buildCallerServer, buildReadinessServer } from "../callers/callerServer.js";
import { RequestAdmission } from "../callers/requestAdmission.js";
import { ActiveConfiguration } from "../configuration/activeConfiguration.js";
import { RequestRunner } from "../dispatch/requestRunner.js";
import { ServiceDispatchRegistry } from "../dispatch/serviceDispatch.js";
import { buildDutySettings } from "../duties/dutySettings.js";
import { NodeDuties } from "../duties/nodeDuties.js";
import { ConfigurationReceiver } from "../following/configurationReceiver.js";
import { RowFollower, type RowFollowerOptions } from "../following/rowFollower.js";
import { ServerReceiver } from "../following/serverReceiver.js";
import { MedianClock } from "../peers/medianClock.js";
import { PeerDirectory, peerTable } from "../peers/peerDirectory.js";
import { PeerMessenger } from "../peers/peerMessenger.js";
import { StoreRelay } from "../peers/storeRelay.js";
import type { GatewaySettings } from "../settings/gatewaySettings.js";
import { StallDetector } from "./stallDetector.js";
import type { PlatformAdapter } from "./platformAdapter.js";

/** Options of a {@link GatewayDaemon}. */
export interface GatewayDaemonOptions {
    readonly settings: GatewaySettings;
    readonly adapter: PlatformAdapter;
    readonly clock: WaitingClock;
    readonly random: () => number;
    readonly logger: Logger;
    readonly metrics: TextMetrics;
}

/** Bound on opening a connection to a backend server, in milliseconds; a healthy one takes a few. */
const connectTimeoutMs = 400;
/** How long an idle connection to a backend server is kept, unless the server says less, in milliseconds. */
const idleConnectionMs = 8_000;
/** Idle connections that a node keeps to one backend server. */
const maximumIdleConnections = 16;
/**
 * How long the store holds a call for the next configuration or server, in milliseconds. Its answers are as old as
 * this for the neighbours of the node that reads for them.
 */
const configurationLongPollMs = 800;
const serverLongPollMs = 400;
/** Pause between two reads of the servers' changes, in milliseconds; well below the time to obey a leaving one. */
const serverReadPauseMs = 500;
/** How long the store holds a call for the next change of the nodes, in milliseconds; a late one costs little. */
const peerLongPollMs = 28_000;
/** Pause after a change of the nodes, in milliseconds: when all start, each of them is a change. */
const peerReadPauseMs = 2_500;
/** Mean pause after a failed read of the store, in milliseconds; several fit the time to obey a change. */
const meanFollowRetryDelayMs = 200;
/** Nodes that may share the retry slack; a deployment with more nodes has a smaller part of its load on each. */
const retrySlackShares = 20;
/** Time in which the balancer notices that a node is not ready, in milliseconds. */
const balancerReactionMs = 2_600;
/**
 * Share of the grace in which a stopping node still takes requests: the balancer has noticed by then, and what is
 * taken can be finished.
 */
const acceptingGraceShare = 0.36;
/** Time kept at the end of the grace for closing, in milliseconds. */
const closingTimeMs = 900;
/** Steps of the closing that are bounded; each may take its share of that time. */
const closingStepCount = 3;
/** Time between two looks whether a stopping node has finished its requests, in milliseconds. */
const drainCheckIntervalMs = 50;

/** One node. */
export class GatewayDaemon {
    private readonly configuration: ActiveConfiguration;
    private readonly directory: ServerDirectory;
    private readonly connections: ConnectionPool;
    private readonly duties: NodeDuties;
    private readonly dispatches: ServiceDispatchRegistry;
    private readonly peers: PeerDirectory;
    private readonly messenger: PeerMessenger;
    private readonly relay: StoreRelay;
    private readonly callerServer: FastifyInstance;
    private readonly readinessServer: FastifyInstance;
    private readonly stopping = new AbortController();
    private readonly tasks: Promise<void>[] = [];
    private isDraining = false;
    private refusalStartMs = Number.POSITIVE_INFINITY;
    private active = 0;

    /** @param options - Settings, adapter and surroundings. */
    constructor(private readonly options: GatewayDaemonOptions) {
        const { settings, adapter, clock, random, logger } = options;
        this.configuration = new ActiveConfiguration(logger);
        this.directory = new ServerDirectory(logger);
        this.connections = new ConnectionPool({
            connectTimeoutMs,
            idleConnectionTimeoutMs: idleConnectionMs,
            maximumIdleConnections: maximumIdleConnections,
        });
        const incarnation = `${settings.name}-${randomUUID().slice(0, 8)}`;
        this.dispatches = this.buildDispatches();
        const { peerHost: host, dataCentre } = settings;
        const [port] = settings.peerPorts;
        const agreedClock = new MedianClock(clock);
        this.peers = new PeerDirectory({
            name: settings.name,
            address: { host, port, dataCentre },
            tableService: adapter.tableService,
            clock,
            logger,
        });
        this.messenger = new PeerMessenger({
            name: settings.name,
            host,
            port,
            incarnation,
            listPeers: () => this.peers.listPeers(),
            clock,
            recordContact: (name, wallMs) => {
                this.peers.recordContact(name);
                agreedClock.recordPeerTime(name, wallMs);
            },
            dispatches: this.dispatches,
            logger,
            random,
            findPeer: (name) => this.peers.findPeer(name),
            receiveStoreUpdate: (news, from) => this.relay.receiveUpdate(news, from),
            storeUsageCopy: (copy) => this.duties.usage.storeCopy(copy),
            addForwardedUsage: (usage, reply) => this.duties.usage.addForwardedUsage(usage, reply),
            recordStoredUsage: (stored) => this.duties.usage.recordStored(stored),
        });
        this.relay = new StoreRelay({
            name: settings.name,
            clock,
            directory: this.directory,
            configuration: this.configuration,
            listLiveNeighbours: () => this.peers.listLiveNeighbours(),
            sendUpdate: (news) => this.messenger.sendStoreUpdate(news, this.peers.listNeighbourAddresses()),
        });
        this.duties = new NodeDuties({
            node: settings.name,
            incarnation,
            tableService: adapter.tableService,
            reportService: adapter.reportService,
            orderingService: adapter.orderingService,
            clock,
            usageClock: agreedClock,
            random,
            logger,
            usageWindowMs: settings.usageWindowMs,
            usageDueMs: settings.usageDueMs,
            settings: buildDutySettings(settings.leaseMs),
            isFirstStart: settings.isFirstStart,
            configuration: this.configuration,
            directory: this.directory,
            sendCopy: (copy) => this.messenger.sendUsageCopies(copy),
            findCollector: () => this.relay.findReader(),
            forwardUsage: (usage, collector) => this.messenger.forwardUsage(usage, collector),
            isCandidate: () => this.relay.isReader() || this.peers.isLeaseCandidate(),
            countNodes: () => this.peers.countNodes(),
        });
        this.callerServer = this.buildCallerServer();
        this.readinessServer = buildReadinessServer(
            adapter.readinessPath,
            () => this.isReady(),
            () => options.metrics.formatText(),
        );
        this.configuration.addListener(({ bounds }) => {
            this.callerServer.server.keepAliveTimeout = bounds.idleTimeoutMs;
        });
    }

    /** Starts to listen and to follow the store. */
    async start(): Promise<void> {
        const { settings, adapter, logger } = this.options;
        const configurationReceiver = new ConfigurationReceiver(adapter, this.configuration, logger);
        const serverReceiver = new ServerReceiver(adapter, this.directory, logger);
        const isCovered = (): boolean => this.relay.isCovered();
        this.relay.setFollowers(
            this.startFollower({
                table: adapter.configurationTable,
                receiver: configurationReceiver,
                longPollMs: configurationLongPollMs,
                pauseMs: 0,
                isRelayActive: isCovered,
            }),
            this.startFollower({
                table: adapter.serverTable,
                receiver: serverReceiver,
                longPollMs: serverLongPollMs,
                pauseMs: serverReadPauseMs,
                isRelayActive: isCovered,
            }),
        );
        this.startFollower({
            table: peerTable,
            receiver: this.peers,
            longPollMs: peerLongPollMs,
            pauseMs: peerReadPauseMs,
        });
        this.messenger.start();
        this.tasks.push(this.relay.run(this.stopping.signal));
        this.tasks.push(this.peers.register(this.stopping.signal));
        await Promise.all([
            startListening(this.callerServer, settings.callerAddress),
            startListening(this.readinessServer, settings.readinessAddress),
        ]);
        this.tasks.push(this.duties.run(this.stopping.signal));
        this.tasks.push(new StallDetector(this.options.clock, logger).run(this.stopping.signal));
        logger.writeEvent("nodeStarted", { name: settings.name });
    }

    /** Stops gracefully: not ready at once, then every request is finished. */
    async stop(): Promise<void> {
        const { settings, clock, logger, adapter } = this.options;
        const startMs = clock.monotonicMs();
        const endMs = startMs + settings.stopGraceMs - closingTimeMs;
        this.isDraining = true;
        logger.writeEvent("nodeStopping", { active: this.active });
        // The store is followed and usage written to the end: requests are still served.
        const dutiesStopped = this.duties.stop();
        this.refusalStartMs = startMs + settings.stopGraceMs * acceptingGraceShare;
        while (!this.isDrained(startMs) && clock.monotonicMs() < endMs) {
            await clock.wait(drainCheckIntervalMs);
            if (this.isRefusing()) {
                this.callerServer.server.closeIdleConnections();
            }
        }
        this.callerServer.server.closeIdleConnections();
        await this.runBounded(Promise.all([dutiesStopped, this.duties.usage.writeOnce()]));
        this.stopping.abort();
        this.connections.close();
        await this.runBounded(this.peers.removeRegistration());
        this.messenger.close();
        await this.runBounded(adapter.close());
        logger.writeEvent("nodeStopped", { active: this.active });
    }

    /** A step of the stop that fails or takes too long must not keep the later ones from running. */
    private async runBounded(step: Promise<unknown>): Promise<void> {
        const { clock, logger } = this.options;
        const bounded = Promise.race([step, clock.wait(closingTimeMs / closingStepCount)]);
        await bounded.catch((error: unknown) =>
            logger.writeEvent("stopStepFailed", { reason: String(error) }),
        );
    }

    private isDrained(startMs: number): boolean {
        const sinceStartMs = this.options.clock.monotonicMs() - startMs;
        return this.active === 0 && sinceStartMs >= balancerReactionMs;
    }

    private isRefusing(): boolean {
        return this.options.clock.monotonicMs() >= this.refusalStartMs;
    }

    private isReady(): boolean {
        return !this.isDraining && this.configuration.readCurrent() !== undefined;
    }

    private startFollower(
        followed: Pick<RowFollowerOptions, "table" | "receiver" | "waitMs" | "pauseMs" | "isCovered">,
    ): RowFollower {
        const { adapter, clock, logger, metrics, random } = this.options;
        const surroundings = {
            feed: adapter.rowFeed,
            clock,
            logger,
            metrics,
            random,
            retryMs: meanFollowRetryDelayMs,
        };
        const follower = new RowFollower({ ...followed, ...surroundings });
        this.tasks.push(follower.run(this.stopping.signal));
        return follower;
    }

    private buildDispatches(): ServiceDispatchRegistry {
        const { settings, clock } = this.options;
        const { directory, configuration } = this;
        return new ServiceDispatchRegistry({
            directory,
            configuration,
            clock,
            dataCentre: settings.dataCentre,
            retries: {
                windowMs: settings.retryWindowMs,
                share: settings.retryShare,
                slack: Math.floor(settings.retrySlack / retrySlackShares),
            },
        });
    }

    private buildCallerServer(): FastifyInstance {
        const { adapter, clock, random, logger, metrics } = this.options;
        const { configuration, directory, connections } = this;
        const runner = new RequestRunner({
            dispatches: this.dispatches,
            announcer: this.messenger,
            directory,
            configuration,
            connections,
            protocol: adapter.backendProtocol,
            usage: this.duties.usage,
            clock,
            logger,
            metrics,
        });
        return buildCallerServer({
            protocol: adapter.callerProtocol,
            admission: new RequestAdmission({ configuration, clock, random }),
            runner,
            clock,
            logger,
            metrics,
            isDraining: () => this.isDraining,
            isRefusing: () => this.isRefusing(),
            onActiveChange: (change) => {
                this.active += change;
            },
        });
    }
}

async function startListening(server: FastifyInstance, address: string): Promise<void> {
    const [host = "", port = "0"] = address.split(":");
    await server.listen({ host, port: Number(port) });
}
