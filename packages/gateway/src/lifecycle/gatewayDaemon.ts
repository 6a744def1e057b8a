/**
 * A gateway node, which forwards callers' requests to backend servers. The configuration and the registered servers
 * come from the platform's store.
 *
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import { Server } from "node:net";
import type { FastifyInstance } from "fastify";
import { RequestQuarantine } from "@pimentocleat/policy";
import type { Logger, TextMetrics } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { SocketOpener } from "@pimentocleat/upstream";
import { ServerDirectory } from "../backends/serverDirectory.js";
import { ActiveConfiguration } from "../configuration/activeConfiguration.js";
import { Evacuations } from "../configuration/evacuations.js";
import { isServerGone } from "../dispatch/isServerGone.js";
import type { RequestRunner } from "../dispatch/requestRunner.js";
import type { ServiceDispatchRegistry } from "../dispatch/serviceDispatch.js";
import { buildDutySettings } from "../duties/dutySettings.js";
import { NodeDuties } from "../duties/nodeDuties.js";
import { ConfigurationReceiver } from "../following/configurationReceiver.js";
import { ServerReceiver } from "../following/serverReceiver.js";
import { TableReader } from "../following/tableReader.js";
import { ConfigurationRelay } from "../peers/configurationRelay.js";
import { DispatchNews } from "../peers/dispatchNews.js";
import { MedianClock } from "../peers/medianClock.js";
import { PeerDirectory } from "../peers/peerDirectory.js";
import { CrashNews } from "../peers/crashNews.js";
import { PeerMessenger } from "../peers/peerMessenger.js";
import { chooseRandomItems } from "../peers/randomItems.js";
import { RelayTiming } from "../peers/relayTiming.js";
import { StoreRelay } from "../peers/storeRelay.js";
import { RelayListener } from "../relaying/relayListener.js";
import type { GatewaySettings } from "../settings/gatewaySettings.js";
import { createDispatches } from "./createDispatches.js";
import { createCallerServer } from "./createCallerServer.js";
import { createRequestRunner } from "./createRequestRunner.js";
import { createServerLimits, type ServerLimits } from "./createServerLimits.js";
import { createStreamOrigins, type KnownOrigins } from "./createStreamOrigins.js";
import { createServerPaths, type ServerConnections } from "./createServerPaths.js";
import { createStatusServer } from "./createStatusServer.js";
import { DrainState } from "./drainState.js";
import type { PlatformAdapter } from "./platformAdapter.js";
import { ReadinessState } from "./readinessState.js";
import { StallDetector } from "./stallDetector.js";
import { startListening } from "./startListening.js";
import { startStoreFollowers } from "./storeFollowers.js";

/** Options of a {@link GatewayDaemon}. */
export interface GatewayDaemonOptions {
    readonly settings: GatewaySettings;
    readonly adapter: PlatformAdapter;
    readonly clock: WaitingClock;
    readonly random: () => number;
    readonly logger: Logger;
    readonly metrics: TextMetrics;
    /** Opens sockets to backend servers; the default opens TCP connections. */
    readonly openServerSocket?: SocketOpener;
}

/** Time reserved for closing at the end of the stop grace period, in milliseconds. */
const closingTimeMs = 900;
/** Number of closing steps with a time limit; each may take an equal share of the closing time. */
const closingStepCount = 5;
/** Length of the random tag in this process's identifiers of dispatches; short, since each message carries some. */
const dispatchTagLength = 8;
/** Number of background tasks that may wait for the stop of the node at the same time. */
const maximumBackgroundTasks = 32;

/** Starts, runs and stops a gateway node. */
export class GatewayDaemon {
    private readonly configuration: ActiveConfiguration;
    private readonly evacuations: Evacuations;
    private readonly directory: ServerDirectory;
    private readonly servers: ServerConnections;
    private readonly duties: NodeDuties;
    private readonly dispatches: ServiceDispatchRegistry;
    private readonly peers: PeerDirectory;
    private readonly messenger: PeerMessenger;
    private readonly news: DispatchNews;
    private readonly streamOrigins: KnownOrigins;
    private readonly quarantine: RequestQuarantine;
    private readonly crashNews: CrashNews;
    private readonly serverLimits: ServerLimits;
    private readonly relay: StoreRelay;
    private readonly relayTiming: RelayTiming;
    private readonly configurationRelay: ConfigurationRelay;
    private readonly relayListener = new RelayListener();
    private readonly runner: RequestRunner;
    private readonly callerServer: FastifyInstance;
    private readonly serverReceiver: ServerReceiver;
    private readonly serverReader: TableReader;
    private readonly readiness: ReadinessState;
    private readonly statusServer: FastifyInstance;
    private readonly stopping = new AbortController();
    private readonly tasks: Promise<void>[] = [];
    private readonly drain: DrainState;

    /** @param options - Settings, platform adapter and environment. */
    constructor(private readonly options: GatewayDaemonOptions) {
        const { settings, adapter, clock, random, logger } = options;
        this.drain = new DrainState({ clock, stopGraceMs: settings.stopGraceMs, closingTimeMs });
        this.configuration = new ActiveConfiguration(logger);
        this.evacuations = new Evacuations({
            isEnabled: settings.evacuationMs !== undefined,
            logger,
            metrics: options.metrics,
        });
        this.directory = new ServerDirectory(logger);
        const incarnation = `${settings.name}-${randomUUID().slice(0, 8)}`;
        this.dispatches = createDispatches({
            settings,
            clock,
            random,
            directory: this.directory,
            configuration: this.configuration,
            getPeers: () => this.peers,
            getNews: () => this.news,
        });
        const { peerHost: host, dataCentre } = settings;
        const [port] = settings.peerPorts;
        this.relayTiming = new RelayTiming(settings);
        const medianClock = new MedianClock(clock);
        this.peers = new PeerDirectory({
            name: settings.name,
            address: {
                host,
                port,
                dataCentre,
                processorShare: settings.processorShare,
                relayKey: this.relayListener.key,
            },
            tableService: adapter.tableService,
            clock,
            logger,
        });
        this.servers = createServerPaths({
            ...options,
            dataCentre,
            peers: this.peers,
            onServerConnectionLost: (address) => void this.recordLostConnection(address),
        });
        const recordContact = (name: string, wallMs: number): void => {
            this.peers.recordContact(name);
            medianClock.recordPeerTime(name, wallMs);
        };
        this.news = new DispatchNews({
            incarnation: randomUUID().slice(0, dispatchTagLength),
            clock,
            dispatches: this.dispatches,
            isRelayed: () => this.peers.isRelayed(),
            isReader: () => this.relay.isServing(),
            findReader: () => this.peers.findPeer(this.relay.findReader() ?? ""),
            listPeers: () => this.peers.listPeers(),
            listNeighbours: () => this.peers.listNeighbourAddresses(),
            listOtherReaders: () => this.peers.listOtherReaders(),
            send: (news, peers) => this.messenger.sendNews(news, peers),
            recordContact: (name, wallMs) => {
                if (name !== settings.name) {
                    recordContact(name, wallMs);
                }
            },
        });
        this.streamOrigins = createStreamOrigins({
            name: settings.name,
            clock,
            directory: this.directory,
            configuration: this.configuration,
            peers: this.peers,
            getMessenger: () => this.messenger,
            readServers: () => this.serverReader.readTable(),
        });
        this.quarantine = new RequestQuarantine(clock);
        this.crashNews = new CrashNews({
            quarantine: this.quarantine,
            clock,
            logger,
            metrics: options.metrics,
            listPeers: () => this.peers.listPeers(),
            chooseRandomPeers: (count) => chooseRandomItems(this.peers.listAllPeers(), count, random),
            send: (message, peers) => this.messenger.sendCrashes(message, peers),
        });
        this.serverLimits = createServerLimits({
            ...options,
            name: settings.name,
            directory: this.directory,
            configuration: this.configuration,
            evacuations: this.evacuations,
            connections: this.servers.connections,
            direct: this.servers.direct,
            dispatches: this.dispatches,
            peers: this.peers,
            getMessenger: () => this.messenger,
        });
        this.messenger = new PeerMessenger({
            name: settings.name,
            host,
            port,
            dataCentre: settings.dataCentre,
            listPeers: () => this.peers.listAllPeers(),
            clock,
            recordContact: (name, wallMs) => {
                recordContact(name, wallMs);
                this.news.recordHeard(name, wallMs);
            },
            receiveNews: (news, from) => {
                if (news.origin === "otherDataCentre") {
                    this.peers.recordOtherReader(from);
                }
                this.news.receiveNews(news);
            },
            logger,
            random,
            findPeer: (name) => this.peers.findPeer(name),
            receiveStoreUpdate: (update, from) => this.relay.receiveUpdate(update, from),
            receiveLeaving: ({ serverId, bornMs }) => this.directory.recordLeaving(serverId, bornMs),
            receiveCrashes: (message) => this.crashNews.receiveMessage(message),
            receiveLimits: (message, from) => this.serverLimits.permits.receiveMessage(message, from),
            receiveOrigin: (message, from) => this.streamOrigins.origins.receiveMessage(message, from),
            receiveConfiguration: (message) => this.configurationRelay.receiveMessage(message),
            storeUsageCopy: (copy) => this.duties.usage.storeCopy(copy),
            addForwardedUsage: (usage, reply) => this.duties.usage.addForwardedUsage(usage, reply),
            recordStoredUsage: (stored) => this.duties.usage.recordStored(stored),
        });
        this.relay = new StoreRelay({
            name: settings.name,
            clock,
            directory: this.directory,
            configuration: this.configuration,
            evacuations: this.evacuations,
            cold: this.serverLimits.cold,
            computeLiveRank: () => this.peers.computeLiveReaderRank(),
            computeRank: () => this.peers.computeReaderRank(),
            timing: this.relayTiming,
            onOutdated: () => this.streamOrigins.recordOutdated(),
            sendUpdate: (update) =>
                this.messenger.sendStoreUpdate(update, this.peers.listNeighbourAddresses()),
        });
        this.configurationRelay = new ConfigurationRelay({
            receiver: new ConfigurationReceiver(adapter, this.configuration, this.evacuations, logger),
            isServing: () => this.relay.isServing(),
            send: (message) => this.messenger.sendConfiguration(message, this.peers.listNeighbourAddresses()),
            logger,
        });
        this.duties = new NodeDuties({
            node: settings.name,
            incarnation,
            tableService: adapter.tableService,
            eras: adapter.eras,
            storeClock: adapter.storeClock,
            reportService: adapter.reportService,
            orderingService: adapter.orderingService,
            clock,
            usageClock: medianClock,
            random,
            logger,
            usageWindowMs: settings.usageWindowMs,
            usageDueMs: settings.usageDueMs,
            settings: buildDutySettings(settings.leaseMs),
            isFirstStart: settings.isFirstStart,
            configuration: this.configuration,
            directory: this.directory,
            evacuations: this.evacuations,
            sendCopy: (copy) => this.messenger.sendUsageCopies(copy),
            findCollector: () => this.relay.findReader(),
            forwardUsage: (usage, collector) => this.messenger.forwardUsage(usage, collector),
            isCandidate: () => this.relay.isReader() || this.peers.isLeaseCandidate(),
            countNodes: () => this.peers.countNodes(),
        });
        this.runner = this.buildRunner();
        this.callerServer = createCallerServer({
            ...options,
            runner: this.runner,
            configuration: this.configuration,
            drain: this.drain,
        });
        this.serverReceiver = new ServerReceiver(adapter, this.directory, logger);
        this.serverReader = new TableReader({
            feed: adapter.rowFeed,
            table: adapter.serverTable,
            receiver: this.serverReceiver,
            logger,
        });
        this.readiness = new ReadinessState({
            clock,
            logger,
            configuration: this.configuration,
            hasServers: () => this.serverReceiver.hasServers(),
        });
        this.statusServer = createStatusServer({
            ...this.options,
            ...this.serverLimits,
            name: settings.name,
            readinessPath: adapter.readinessPath,
            isReady: () => this.isReady(),
            configuration: this.configuration,
            evacuations: this.evacuations,
            directory: this.directory,
            dispatches: this.dispatches,
        });
        this.configuration.addListener(({ bounds }) => {
            this.callerServer.server.keepAliveTimeout = bounds.idleTimeoutMs;
        });
    }

    /** Starts the listeners and the background tasks, which follow the store. */
    async start(): Promise<void> {
        const { settings, logger } = this.options;
        setMaxListeners(maximumBackgroundTasks, this.stopping.signal);
        this.tasks.push(
            ...startStoreFollowers({
                ...this.options,
                configurationReceiver: this.configurationRelay,
                serverReceiver: this.serverReceiver,
                peers: this.peers,
                relay: this.relay,
                timing: this.relayTiming,
                signal: this.stopping.signal,
            }),
        );
        this.messenger.start();
        await this.startRelaying();
        this.tasks.push(this.relay.run(this.stopping.signal));
        this.tasks.push(this.crashNews.run(this.stopping.signal));
        this.tasks.push(this.serverLimits.limits.run(this.stopping.signal));
        this.tasks.push(this.serverLimits.cold.run(this.stopping.signal));
        this.tasks.push(this.peers.register(this.stopping.signal));
        await Promise.all([
            startListening(this.callerServer, settings.callerAddress, this.options),
            startListening(this.statusServer, settings.readinessAddress, this.options),
        ]);
        this.tasks.push(this.duties.run(this.stopping.signal));
        this.tasks.push(
            new StallDetector(this.options.clock, logger, () => {
                this.streamOrigins.recordOutdated();
                this.serverLimits.cold.recordStall();
            }).run(this.stopping.signal),
        );
        logger.writeEvent("nodeStarted", { name: settings.name });
    }

    /** Stops gracefully: reports not ready at once, then finishes all requests within the grace period. */
    async stop(): Promise<void> {
        const { logger, adapter } = this.options;
        this.drain.start();
        logger.writeEvent("nodeStopping", { active: this.drain.countActive() });
        // Requests are still served, so the store is followed and usage is written until the end.
        const dutiesStopped = this.duties.stop();
        await this.drain.waitUntilDrained(() => this.callerServer.server.closeIdleConnections());
        await this.runBounded(Promise.all([dutiesStopped, this.duties.usage.writeOnce()]));
        this.stopping.abort();
        // Before the connections are closed, so that each caller gets a response and nothing is taken for a failure.
        this.runner.stop();
        const relayingEnded = this.relayListener.close();
        this.servers.connections.close();
        this.servers.relayConnections.close();
        await this.runBounded(relayingEnded);
        await this.runBounded(this.peers.removeRegistration());
        this.messenger.close();
        await this.runBounded(adapter.close());
        await this.runBounded(this.stopListening());
        logger.writeEvent("nodeStopped", { active: this.drain.countActive() });
    }

    /**
     * Stops accepting connections, and waits until the accepted ones have got their answers. Done last: until then new
     * requests are refused as not run. Without it, the operating system accepts connections until the process has ended,
     * and resets them then. Connections that wait to be accepted when the listener closes are still reset.
     */
    private async stopListening(): Promise<void> {
        const { server } = this.callerServer;
        const closed = new Promise<void>((resolve) => {
            Server.prototype.close.call(server, () => resolve());
        });
        server.closeIdleConnections();
        await closed;
    }

    /** Limits the time of a stop step, so that a failed or slow step does not prevent the later ones. */
    private async runBounded(step: Promise<unknown>): Promise<void> {
        const { clock, logger } = this.options;
        const bounded = Promise.race([step, clock.wait(closingTimeMs / closingStepCount)]);
        await bounded.catch((error: unknown) =>
            logger.writeEvent("stopStepFailed", { reason: String(error) }),
        );
    }

    /**
     * A server that loses several connections at once may have started again, and may then be cold. The loss of the only
     * one says nothing: servers close idle connections, and single ones are reset.
     */
    private async recordLostConnection(address: string): Promise<void> {
        const server = this.directory.findServerAt(address);
        const { clock } = this.options;
        const hasOthers = this.servers.connections.listOpenConnections(address).length > 0;
        const isConcerned = server !== undefined && hasOthers && !this.stopping.signal.aborted;
        if (isConcerned && (await isServerGone(this.servers.connections, address, clock))) {
            this.serverLimits.cold.recordLoss(server);
        }
    }

    private isReady(): boolean {
        return !this.drain.isDraining() && this.evacuations.isKnown() && this.readiness.isReady();
    }

    private startRelaying(): Promise<void> {
        const { settings, adapter } = this.options;
        return this.relayListener.start(settings.peerHost, settings.peerPorts[0], {
            ...this.options,
            directory: this.directory,
            notices: this.serverLimits.notices,
            evacuations: this.evacuations,
            paths: this.servers.direct,
            connections: this.servers.connections,
            protocol: adapter.backendProtocol,
            isStopping: () => this.drain.isDraining(),
            onActiveChange: (change) => this.drain.recordActive(change),
        });
    }

    private buildRunner(): RequestRunner {
        const { connections, paths } = this.servers;
        return createRequestRunner({
            ...this.options,
            ...this.serverLimits,
            protocol: this.options.adapter.backendProtocol,
            dispatches: this.dispatches,
            announcer: this.news,
            ...this.streamOrigins,
            quarantine: this.quarantine,
            crashNews: this.crashNews,
            directory: this.directory,
            configuration: this.configuration,
            evacuations: this.evacuations,
            connections,
            paths,
            usage: this.duties.usage,
        });
    }
}
