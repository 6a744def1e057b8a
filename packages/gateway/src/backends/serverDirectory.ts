/**
 * The backend servers that are registered, by service.
 *
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import type { Logger } from "@pimentocleat/telemetry";
import type { RegisteredServer } from "./backendServer.js";

/** A server that is no longer registered. */
export interface RemovedServer {
    readonly id: string;
    /** Version of the store at which it was gone. */
    readonly version: number;
}

/** Changes of the directory that matter to callers. */
export interface DirectoryChanges {
    readonly changed: readonly RegisteredServer[];
    readonly removed: readonly RemovedServer[];
}

/** Receives changes of the servers of one service. */
export type DirectoryListener = (service: string, servers: readonly RegisteredServer[]) => void;

/** Holds the registered servers. */
export class ServerDirectory {
    private readonly servers = new Map<string, RegisteredServer>();
    /** Versions at which servers were gone, so that older news does not bring them back. */
    private readonly removedVersions = new Map<string, number>();
    private readonly changeListeners: ((changes: DirectoryChanges) => void)[] = [];
    private digest: string | undefined;
    private readonly ready = new Map<string, readonly RegisteredServer[]>();
    private readonly readyListeners: DirectoryListener[] = [];
    private readonly restartListeners: ((server: RegisteredServer) => void)[] = [];

    /** @param logger - Notes servers that come and leave. */
    constructor(private readonly logger: Logger) {}

    /** @param listener - Called when the ready servers of a service change. */
    addReadyListener(listener: DirectoryListener): void {
        this.readyListeners.push(listener);
    }

    /** @param listener - Called when a server started again under its identifier. */
    addRestartListener(listener: (server: RegisteredServer) => void): void {
        this.restartListeners.push(listener);
    }

    /** @param listener - Called with the changes that matter to callers. */
    addChangeListener(listener: (changes: DirectoryChanges) => void): void {
        this.changeListeners.push(listener);
    }

    /**
     * Replaces all servers.
     *
     * @param servers - The servers that are registered now.
     * @param version - Version of the store at which they were read.
     */
    setServers(servers: readonly RegisteredServer[], version: number): void {
        const present = new Set(servers.map((server) => server.id));
        const gone = [...this.servers.keys()].filter((id) => !present.has(id));
        this.updateServers(
            servers,
            gone.map((id) => ({ id, version })),
        );
    }

    /**
     * Applies changes; what is older than what is known has no effect.
     *
     * @param changed - Servers that registered or changed.
     * @param removed - Servers that are no longer registered.
     */
    updateServers(changed: readonly RegisteredServer[], removed: readonly RemovedServer[]): void {
        const newer = changed.filter((server) => this.isNewer(server));
        const mattering = newer.filter((server) => !isRoutingUnchanged(this.servers.get(server.id), server));
        const services = new Set<string>();
        for (const server of newer) {
            const known = this.servers.get(server.id);
            this.servers.set(server.id, server);
            this.removedVersions.delete(server.id);
            if (known !== undefined && known.bornMs !== server.bornMs) {
                this.restartListeners.forEach((listener) => listener(server));
            }
            if (!isRoutingUnchanged(known, server)) {
                services.add(server.service);
                services.add(known?.service ?? server.service);
                this.writeChangeEvent(known, server);
            }
        }
        const gone = removed.filter((server) => this.removeServer(server, services));
        if (services.size > 0) {
            this.digest = undefined;
            services.forEach((service) => this.updateReadyServers(service));
            this.changeListeners.forEach((listener) => listener({ changed: mattering, removed: gone }));
        }
    }

    /** @returns A digest of all that matters to callers; equal on nodes that know the same servers. */
    computeDigest(): string {
        this.digest ??= this.buildDigest();
        return this.digest;
    }

    /**
     * Lists the servers that may get new work.
     *
     * @param service - Name of the service.
     * @returns The ready servers.
     */
    listReadyServers(service: string): readonly RegisteredServer[] {
        return this.ready.get(service) ?? [];
    }

    /**
     * Lists all registered servers of a service, also those that leave.
     *
     * @param service - Name of the service.
     * @returns The servers.
     */
    listServers(service: string): readonly RegisteredServer[] {
        return [...this.servers.values()].filter((server) => server.service === service);
    }

    /**
     * Finds a server.
     *
     * @param id - Identifier of the server.
     * @returns The server, or undefined when it is not registered.
     */
    findServer(id: string): RegisteredServer | undefined {
        return this.servers.get(id);
    }

    private isNewer(server: RegisteredServer): boolean {
        const known = this.servers.get(server.id)?.version ?? Number.NEGATIVE_INFINITY;
        const removed = this.removedVersions.get(server.id) ?? Number.NEGATIVE_INFINITY;
        return server.version >= known && server.version > removed;
    }

    private removeServer({ id, version }: RemovedServer, services: Set<string>): boolean {
        const known = this.servers.get(id);
        if (known === undefined || known.version > version) {
            return false;
        }
        this.servers.delete(id);
        this.removedVersions.set(id, version);
        services.add(known.service);
        this.logger.writeEvent("backendGone", { server: id, service: known.service });
        return true;
    }

    private buildDigest(): string {
        const hash = createHash("sha1");
        for (const id of [...this.servers.keys()].sort()) {
            const { service, address, dataCentre, slots, state, bornMs } = this.servers.get(id)!;
            hash.update(JSON.stringify([id, service, address, dataCentre, slots, state, bornMs]));
        }
        return hash.digest("base64");
    }

    private updateReadyServers(service: string): void {
        const ready = this.listServers(service).filter((server) => server.state === "ready");
        this.ready.set(service, ready);
        this.readyListeners.forEach((listener) => listener(service, ready));
    }

    private writeChangeEvent(known: RegisteredServer | undefined, server: RegisteredServer): void {
        const { id, service, dataCentre, state } = server;
        if (known === undefined || known.state !== state || known.bornMs !== server.bornMs) {
            const event = state === "leaving" ? "backendLeaving" : "backendRegistered";
            this.logger.writeEvent(event, { server: id, service, dataCentre });
        }
    }
}

/** A check-in without any change must not wake the rest of the node. */
function isRoutingUnchanged(known: RegisteredServer | undefined, server: RegisteredServer): boolean {
    return (
        known !== undefined &&
        known.service === server.service &&
        known.address === server.address &&
        known.dataCentre === server.dataCentre &&
        known.slots === server.slots &&
        known.state === server.state &&
        known.bornMs === server.bornMs
    );
}
