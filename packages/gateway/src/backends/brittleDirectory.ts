/**
 * Knows which services are brittle and what their servers have room for, as far as answers at this node and news of the
 * others show.
 *
 * @packageDocumentation
 */
import { BrittleServices, type PlaceQueueOptions } from "@pimentocleat/policy";
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import type { Clock } from "@pimentocleat/types";
import type { LimitMessage } from "../peers/limitMessages.js";
import type { RegisteredServer } from "./backendServer.js";
import type { ServerDirectory } from "./serverDirectory.js";
import type { NamedBrittleness, ServerNotice } from "./serverNotice.js";

/** Options of {@link BrittleDirectory}. */
export interface BrittleDirectoryOptions {
    readonly directory: ServerDirectory;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Counts the requests of all nodes that are known to be in flight at a server. */
    readonly countInFlight: (service: string, serverId: string) => number;
    /** Tells the nodes that may grant the places of a server. */
    readonly sendToKeepers: (message: FullMessage) => void;
}

/** Tells that a server rejected a request for want of room. */
export type FullMessage = Extract<LimitMessage, { type: "serverFull" }>;

/** Rejections in a second that a server is taken to bear when the number cannot be read. */
const unreadableAllowed = 0;

/** Records what servers of brittle services say and do. */
export class BrittleDirectory {
    private readonly services: BrittleServices;

    /** @param options - The servers and the other nodes. */
    constructor(private readonly options: BrittleDirectoryOptions) {
        this.services = new BrittleServices(options.clock);
        options.directory.addRestartListener(({ id }) => this.services.removeServer(id));
    }

    /**
     * Records an answer.
     *
     * @param server - The server.
     * @param notice - What it says.
     * @param sentMs - Monotonic time at which the request was sent, in milliseconds.
     */
    recordAnswer(server: RegisteredServer, notice: ServerNotice, sentMs: number): void {
        const { service, id: serverId } = server;
        const allowed = this.selectAllowed(service, notice.brittleness);
        if (this.services.recordAnswer(service, allowed, sentMs)) {
            this.options.logger.writeEvent(allowed === undefined ? "serviceBrittleEnded" : "serviceBrittle", {
                service,
                allowed,
            });
            this.options.metrics.addCount("server.notice", 1, { kind: "brittle" });
        }
        if (notice.hasNoRoom && allowed !== undefined) {
            this.recordFull(service, serverId);
            this.options.sendToKeepers({ type: "serverFull", service, serverId });
        }
    }

    /**
     * Records that a server rejected a request for want of room.
     *
     * @param service - Name of the service.
     * @param serverId - The server.
     */
    recordFull(service: string, serverId: string): void {
        this.services.recordRejection(serverId, this.options.countInFlight(service, serverId) - 1);
    }

    /**
     * Finds how many rejections a server bears.
     *
     * @param server - The server.
     * @returns The number in a second; undefined when its service is not brittle.
     */
    findAllowed({ service }: RegisteredServer): number | undefined {
        return this.services.findAllowed(service);
    }

    /**
     * Builds what grants the places of a server need.
     *
     * @param serverId - The server.
     * @param allowed - Rejections in a second that it bears.
     * @returns The room; none when the server is not known.
     */
    buildPlaces(serverId: string, allowed: number): PlaceQueueOptions {
        const { directory, countInFlight } = this.options;
        const server = directory.findServer(serverId);
        return {
            computeRoom: () =>
                server === undefined ? 0 : this.services.computeRoom(serverId, server.slots, allowed),
            countInFlight: () => (server === undefined ? 0 : countInFlight(server.service, serverId)),
        };
    }

    private selectAllowed(service: string, brittleness: NamedBrittleness): number | undefined {
        switch (brittleness.type) {
            case "none":
                return undefined;
            case "brittle":
                return brittleness.allowed;
            case "unreadable":
                this.options.logger.writeEvent("serviceBrittleUnreadable", {
                    service,
                    text: brittleness.text,
                });
                return this.services.findAllowed(service) ?? unreadableAllowed;
        }
    }
}
