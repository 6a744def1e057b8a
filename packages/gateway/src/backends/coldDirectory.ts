/**
 * Connects what a node knows of cold servers to its registrations, its connections and the other nodes.
 *
 * @packageDocumentation
 */
import { ColdServers, computeGrantRate, sameEventMs, type ColdReport } from "@pimentocleat/policy";
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";
import type { Evacuations } from "../configuration/evacuations.js";
import type { ColdStartRule } from "../configuration/gatewayConfiguration.js";
import type { LimitMessage } from "../peers/limitMessages.js";
import type { PeerAddress } from "../peers/peerDirectory.js";
import type { RegisteredServer } from "./backendServer.js";
import type { ServerDirectory } from "./serverDirectory.js";

/** Options of a {@link ColdDirectory}. */
export interface ColdDirectoryOptions {
    readonly clock: WaitingClock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly directory: ServerDirectory;
    readonly configuration: ActiveConfiguration;
    readonly evacuations: Evacuations;
    /** Factor by which a cold server's rate may be exceeded in any one second. */
    readonly coldOverage: number;
    /** Number of requests that a cold server may get in any one second beyond that. */
    readonly coldSlack: number;
    /** Whether the deployment starts for the first time, so that registrations cannot be outdated. */
    readonly isFirstStart: boolean;
    /** Whether a connection of this node to the server is open; a server that crashed has lost it. */
    readonly hasOpenConnection: (server: RegisteredServer) => boolean;
    /** Checks whether a server that seems lost is, rather than the links of this node; without it every loss counts. */
    readonly isServerLost?: (server: RegisteredServer) => Promise<boolean>;
    /** Lists the nodes that are told of a lost server at once. */
    readonly listPeers: () => readonly PeerAddress[];
    /** Lists the other nodes that keep the permits of a server together with this one; empty when it keeps none. */
    readonly listOtherKeepers: (serverId: string) => readonly PeerAddress[];
    /** Chooses nodes at random among all. */
    readonly chooseRandomPeers: (count: number) => readonly PeerAddress[];
    readonly send: (message: LimitMessage, peers: readonly PeerAddress[]) => void;
}

/** How long a server stays cold, for nodes that do not read the store. */
export interface ColdRow {
    readonly id: string;
    readonly remainingMs: number;
}

/** Why a server may be cold. */
type ColdReason = "row" | "lost" | "returned" | "reported" | "stalled";

/** Interval at which what is known is sent again, in milliseconds. */
const repeatIntervalMs = 500;
/** Number of random nodes that get it each time. */
const repeatedNodes = 3;
/** Age up to which a reported event is earlier than no connection that is open now, in milliseconds: a start takes longer. */
const freshReportMs = 400;
/** Maximum number of servers in a message, limited by the size of a datagram. */
const maximumReports = 20;

/** Keeps what one node knows of cold servers. */
export class ColdDirectory {
    private readonly servers: ColdServers;
    private readonly coldListeners: (() => void)[] = [];
    private hasRead = false;
    /** Identifiers of the servers whose loss is being checked. */
    private readonly checked = new Set<string>();
    /** Monotonic time of the last reported event of a server that did not concern it, in milliseconds. */
    private readonly refutedMs = new Map<string, number>();

    /** @param options - This node, what it knows of servers, and its peers. */
    constructor(private readonly options: ColdDirectoryOptions) {
        this.servers = new ColdServers(options.clock, !options.isFirstStart);
        options.directory.addRowListener((rows) => this.recordRows(rows));
        options.evacuations.addListener(({ dataCentre, isEvacuated }) => {
            if (!isEvacuated) {
                this.recordReturn(dataCentre);
            }
        });
    }

    /** @param listener - Called when a server says that it is cold. */
    addColdListener(listener: () => void): void {
        this.coldListeners.push(listener);
    }

    /**
     * Finds the rate of permits for a server that may be cold.
     *
     * @param server - The server.
     * @returns Permits per second for all nodes combined; undefined when it is not cold.
     */
    findRate(server: RegisteredServer): number | undefined {
        const rule = this.findRule(server);
        if (rule === undefined || this.servers.computeColdMs(server.id, rule.durationMs) === 0) {
            return undefined;
        }
        const { coldOverage: overage, coldSlack: slack } = this.options;
        return computeGrantRate({ requestsPerSecond: rule.requestsPerSecond, overage, slack });
    }

    /**
     * Finds the same rate by the identifier of a server.
     *
     * @param id - The server.
     * @returns Permits per second; undefined when it is not cold or not registered.
     */
    findRateOf(id: string): number | undefined {
        const server = this.options.directory.findServer(id);
        return server === undefined ? undefined : this.findRate(server);
    }

    /**
     * Records an answer.
     *
     * @param server - The server, as registered when the request was sent.
     * @param sentMs - Monotonic time at which the request was sent, in milliseconds.
     * @param coldMs - Time for which the server stays cold by the answer, in milliseconds; undefined when it names none.
     */
    recordAnswer(server: RegisteredServer, sentMs: number, coldMs: number | undefined): void {
        this.servers.recordAnswer(server.id, sentMs, coldMs);
    }

    /**
     * Records that a server lost all connections of this node. The others are told, since a node without a connection
     * does not notice; those that still have one do not take it for a start of the server.
     *
     * @param server - The server.
     */
    recordLoss(server: RegisteredServer): void {
        const { isServerLost } = this.options;
        if (isServerLost === undefined || this.findRule(server) === undefined) {
            this.recordCheckedLoss(server);
            return;
        }
        if (!this.checked.has(server.id)) {
            this.checked.add(server.id);
            void isServerLost(server).then((isLost) => {
                this.checked.delete(server.id);
                if (isLost) {
                    this.recordCheckedLoss(server);
                }
            });
        }
    }

    private recordCheckedLoss(server: RegisteredServer): void {
        if (this.servers.recordDoubt(server, true)) {
            this.recordReason(server, "lost");
            if (this.findRule(server) !== undefined) {
                this.sendReports([server.id], this.options.listPeers());
            }
        }
    }

    /** Records that this node was stalled, so that any server may have started again without its noticing. */
    recordStall(): void {
        for (const server of this.listConcerned()) {
            if (this.servers.recordDoubt(server, false)) {
                this.recordReason(server, "stalled");
            }
        }
    }

    /**
     * Merges what another node knows.
     *
     * @param reports - The reports.
     */
    mergeReports(reports: readonly ColdReport[]): void {
        for (const report of reports) {
            const server = this.options.directory.findServer(report.serverId);
            const isRefuted = server !== undefined && this.isRefuted(server, report);
            if (!isRefuted && this.servers.mergeReport(report) && server !== undefined) {
                this.recordReason(server, "reported");
            }
        }
    }

    /** @returns The servers that are cold by their registrations; undefined when there are none. */
    listColdRows(): readonly ColdRow[] | undefined {
        const rows = this.listConcerned()
            .map(({ id }) => ({ id, remainingMs: Math.round(this.servers.computeSaidMs(id)) }))
            .filter(({ remainingMs }) => remainingMs > 0);
        return rows.length === 0 ? undefined : rows.slice(0, maximumReports);
    }

    /**
     * Records how long servers stay cold, as the reader of this node's data centre knows.
     *
     * @param rows - The servers.
     */
    mergeColdRows(rows: readonly ColdRow[]): void {
        rows.forEach(({ id, remainingMs }) => this.servers.recordCold(id, remainingMs));
    }

    /**
     * Sends what is known at an interval, as long as any server may be cold.
     *
     * @param signal - Ends the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.wait(repeatIntervalMs, signal);
            const cold = this.listConcerned().filter((server) => this.findRate(server) !== undefined);
            if (cold.length > 0) {
                const { chooseRandomPeers, listOtherKeepers } = this.options;
                const ids = cold.map(({ id }) => id);
                const keepers = ids.flatMap((id) => listOtherKeepers(id));
                this.sendReports(ids, [...new Set([...keepers, ...chooseRandomPeers(repeatedNodes)])]);
            }
        }
    }

    private recordRows(rows: readonly RegisteredServer[]): void {
        const isFirstRead = !this.hasRead;
        this.hasRead ||= rows.length > 0;
        for (const row of rows) {
            if (this.servers.recordRow(row, isFirstRead)) {
                this.recordReason(row, "row");
            }
        }
        if (rows.some((row) => (row.remainingColdMs ?? 0) > 0 && this.findRule(row) !== undefined)) {
            this.coldListeners.forEach((listener) => listener());
        }
    }

    /**
     * Checks whether an open connection shows that a server did not crash: a node that has lost its own links reports all
     * servers. A connection says nothing about an event after which it may have been opened.
     */
    private isRefuted(server: RegisteredServer, { ageMs }: ColdReport): boolean {
        const atMs = this.options.clock.monotonicMs() - ageMs;
        const refutedMs = this.refutedMs.get(server.id);
        if (refutedMs !== undefined && Math.abs(atMs - refutedMs) < sameEventMs) {
            return true;
        }
        const isRefuted =
            ageMs < freshReportMs &&
            this.findRate(server) === undefined &&
            this.options.hasOpenConnection(server);
        if (isRefuted) {
            this.refutedMs.set(server.id, atMs);
        }
        return isRefuted;
    }

    /** The servers of a data centre whose evacuation ends may have started without any registration that says so. */
    private recordReturn(dataCentre: string): void {
        for (const server of this.listConcerned().filter((other) => other.dataCentre === dataCentre)) {
            if (this.servers.recordDoubt(server, true)) {
                this.recordReason(server, "returned");
            }
        }
    }

    private sendReports(ids: readonly string[], peers: readonly PeerAddress[]): void {
        const cold = ids.flatMap((id) => this.servers.buildReport(id) ?? []);
        for (let first = 0; first < Math.max(1, cold.length); first += maximumReports) {
            const part = cold.slice(first, first + maximumReports);
            this.options.send({ type: "serverLimits", reports: [], cold: part }, peers);
        }
    }

    private findRule({ service }: RegisteredServer): ColdStartRule | undefined {
        return this.options.configuration.findService(service)?.coldStart;
    }

    private listConcerned(): readonly RegisteredServer[] {
        const services = this.options.configuration.readCurrent()?.services ?? [];
        return services
            .filter(({ coldStart }) => coldStart !== undefined)
            .flatMap(({ name }) => this.options.directory.listServers(name));
    }

    private recordReason(server: RegisteredServer, reason: ColdReason): void {
        if (this.findRule(server) !== undefined) {
            const { logger, metrics } = this.options;
            logger.writeEvent("serverMayBeCold", { server: server.id, reason, bornMs: server.bornMs });
            metrics.addCount("server.cold", 1, { reason });
        }
    }
}
