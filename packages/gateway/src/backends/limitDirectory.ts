/**
 * Pools what servers say of their limits. A change is sent to the peers at once. What is known goes to the keepers of the
 * limited servers and to a few random nodes at an interval, so that it also reaches nodes that have just started or lost a
 * message, and shows the keepers that this node is alive.
 *
 * @packageDocumentation
 */
import { LimitObservations, type LimitedServer, type LimitReport } from "@pimentocleat/policy";
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { LimitMessage } from "../peers/limitMessages.js";
import type { PeerAddress } from "../peers/peerDirectory.js";
import type { NamedLimit } from "./serverNotice.js";

/** Options of {@link LimitDirectory}. */
export interface LimitDirectoryOptions {
    readonly clock: WaitingClock;
    readonly random: () => number;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Lists the nodes that are told of a change at once. */
    readonly listPeers: () => readonly PeerAddress[];
    /** Lists the other nodes that keep the permits of a server together with this one; empty when it keeps none. */
    readonly listOtherKeepers: (serverId: string) => readonly PeerAddress[];
    /** Chooses nodes at random among all. */
    readonly chooseRandomPeers: (count: number) => readonly PeerAddress[];
    readonly send: (message: LimitMessage, peers: readonly PeerAddress[]) => void;
}

/** Interval at which what is known is sent again, in milliseconds. */
const repeatIntervalMs = 500;
/** Number of random nodes that get it each time. */
const repeatedNodes = 3;
/** Maximum number of servers in a message, limited by the size of a datagram. */
const maximumReports = 20;
/** Maximum number of servers whose unreadable limits are remembered. */
const maximumUnreadable = 200;
/** Limit of a server that named one which cannot be read and none before, in requests per second. */
const unreadableLimitPerSecond = 1;

/** Keeps what one node knows of the limits of servers. */
export class LimitDirectory {
    private readonly observations: LimitObservations;
    /** Last limit of each server that could not be read, so that each is logged once. */
    private readonly unreadable = new Map<string, string>();

    /** @param options - The peers of this node. */
    constructor(private readonly options: LimitDirectoryOptions) {
        this.observations = new LimitObservations(options.clock, options.random);
    }

    /**
     * Records what an answer said.
     *
     * @param server - The server, as registered when the request was sent.
     * @param limit - The limit that the answer named.
     * @param sentMs - Monotonic time at which the request was sent, in milliseconds.
     */
    recordAnswer(server: LimitedServer, limit: NamedLimit, sentMs: number): void {
        if (limit.type === "none" && !this.observations.hasLimits()) {
            return;
        }
        const perSecond = this.selectLimit(server, limit);
        if (this.observations.recordAnswer(server, perSecond, sentMs)) {
            this.writeChange(server.id, perSecond);
            const report = this.observations.buildReport(server.id);
            if (report !== undefined) {
                this.sendReports([report], this.options.listPeers());
            }
        }
    }

    /**
     * Merges what another node knows.
     *
     * @param reports - The reports.
     */
    mergeReports(reports: readonly LimitReport[]): void {
        for (const report of reports) {
            if (this.observations.mergeReport(report)) {
                this.writeChange(report.serverId, report.perSecond);
            }
        }
    }

    /**
     * Finds the limit of a server.
     *
     * @param server - The server.
     * @returns Requests per second from all nodes together; undefined without a limit.
     */
    findLimit(server: LimitedServer): number | undefined {
        return this.observations.hasLimits() ? this.observations.findLimit(server) : undefined;
    }

    /**
     * Builds the report of a server that has a limit.
     *
     * @param serverId - The server.
     * @returns The report; undefined when nothing is known.
     */
    buildReport(serverId: string): LimitReport | undefined {
        return this.observations.buildReport(serverId);
    }

    /** @returns Identifiers of the servers with a limit. */
    listLimitedServers(): readonly string[] {
        return this.observations.listLimitedServers();
    }

    /**
     * Sends what is known at an interval, as long as there is anything.
     *
     * @param signal - Ends the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.wait(repeatIntervalMs, signal);
            if (this.observations.hasLimits()) {
                this.sendRepeated();
            }
        }
    }

    private sendRepeated(): void {
        const { chooseRandomPeers, listOtherKeepers } = this.options;
        const keepers = this.observations.listLimitedServers().flatMap((id) => listOtherKeepers(id));
        const peers = new Set([...keepers, ...chooseRandomPeers(repeatedNodes)]);
        this.sendReports(this.observations.takeReports(maximumReports), [...peers]);
    }

    private sendReports(reports: readonly LimitReport[], peers: readonly PeerAddress[]): void {
        if (reports.length > 0) {
            this.options.send({ type: "serverLimits", reports: [...reports] }, peers);
        }
    }

    /** A limit that cannot be read is never taken for none. */
    private selectLimit(server: LimitedServer, limit: NamedLimit): number | undefined {
        switch (limit.type) {
            case "none":
                return undefined;
            case "limit":
                return limit.perSecond;
            case "unreadable":
                this.writeUnreadableEvent(server.id, limit.text);
                return this.observations.findLimit(server) ?? unreadableLimitPerSecond;
        }
    }

    private writeUnreadableEvent(server: string, text: string): void {
        if (this.unreadable.get(server) !== text) {
            this.unreadable.delete(server);
            this.unreadable.set(server, text);
            const [oldest] = this.unreadable.keys();
            if (this.unreadable.size > maximumUnreadable && oldest !== undefined) {
                this.unreadable.delete(oldest);
            }
            this.options.logger.writeEvent("serverLimitUnreadable", { server, text });
        }
    }

    private writeChange(server: string, perSecond: number | undefined): void {
        const { logger, metrics } = this.options;
        if (perSecond === undefined) {
            logger.writeEvent("serverLimitEnded", { server });
        } else {
            logger.writeEvent("serverLimited", { server, perSecond });
            metrics.addCount("server.notice", 1, { kind: "limit" });
        }
    }
}
