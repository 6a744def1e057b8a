/**
 * An in-memory directory of the registered backend servers, by service.
 *
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import { readEra } from "@pimentocleat/services";
import type { Logger } from "@pimentocleat/telemetry";
import type { RegisteredServer } from "./backendServer.js";

/** A server that is no longer registered. */
export interface RemovedServer {
    readonly id: string;
    /** Store version at which the registration was absent. */
    readonly version: number;
}

/** Directory changes that affect routing. */
export interface DirectoryChanges {
    readonly changed: readonly RegisteredServer[];
    readonly removed: readonly RemovedServer[];
}

/** Maximum number of servers that said that they leave of which this is remembered. */
const maximumLeavingStarts = 1_000;

/** Receives the ready servers of a service when they change. */
export type DirectoryListener = (service: string, servers: readonly RegisteredServer[]) => void;

/** Holds the registered servers and notifies listeners of changes. */
export class ServerDirectory {
    private readonly servers = new Map<string, RegisteredServer>();
    /** Store versions at which servers were removed, so that an older update does not restore them. */
    private readonly removedVersions = new Map<string, number>();
    /**
     * Start of each server that said itself that it leaves, the least recent first. Kept apart from the registrations:
     * neither erases the other, and only another start of the server ends it.
     */
    private readonly leavingStarts = new Map<string, number | undefined>();
    private readonly changeListeners: ((changes: DirectoryChanges) => void)[] = [];
    /** Store version at which this node first read the servers of the current era. */
    private eraStartVersion = 0;
    /** Store version of the last complete read; a server that was not in it and is no newer has left. */
    private completeVersion = Number.NEGATIVE_INFINITY;
    private digest: string | undefined;
    private readonly readyByService = new Map<string, readonly RegisteredServer[]>();
    private readonly readyListeners: DirectoryListener[] = [];
    private readonly rowListeners: ((servers: readonly RegisteredServer[]) => void)[] = [];
    private readonly restartListeners: ((server: RegisteredServer) => void)[] = [];

    /** @param logger - Records servers that register, leave or are removed. */
    constructor(private readonly logger: Logger) {}

    /** @param listener - Called when the ready servers of a service change. */
    addReadyListener(listener: DirectoryListener): void {
        this.readyListeners.push(listener);
    }

    /** @param listener - Called with all registrations that are as new as the known ones, also unchanged ones. */
    addRowListener(listener: (servers: readonly RegisteredServer[]) => void): void {
        this.rowListeners.push(listener);
    }

    /** @param listener - Called when a server has restarted under the same identifier. */
    addRestartListener(listener: (server: RegisteredServer) => void): void {
        this.restartListeners.push(listener);
    }

    /** @param listener - Called with the changes that affect routing. */
    addChangeListener(listener: (changes: DirectoryChanges) => void): void {
        this.changeListeners.push(listener);
    }

    /**
     * Replaces all servers.
     *
     * @param servers - The currently registered servers.
     * @param version - Store version at which they were read.
     */
    setServers(servers: readonly RegisteredServer[], version: number): void {
        if (readEra(version) > readEra(this.eraStartVersion)) {
            this.eraStartVersion = version;
        }
        const present = new Set(servers.map((server) => server.id));
        const removedIds = [...this.servers.keys()].filter((id) => !present.has(id));
        this.updateServers(
            servers,
            removedIds.map((id) => ({ id, version })),
        );
        this.completeVersion = Math.max(this.completeVersion, version);
    }

    /**
     * Applies changes; a change that is older than the known state has no effect.
     *
     * @param changed - Servers that registered or changed.
     * @param removed - Servers that are no longer registered.
     */
    updateServers(changed: readonly RegisteredServer[], removed: readonly RemovedServer[]): void {
        const newer = changed
            .filter((server) => this.isNewer(server) && !this.isRevived(server))
            .map((server) => this.copyLeavingState(this.copyKnownVersion(server)));
        const routingChanges = newer.filter(
            (server) => !isRoutingUnchanged(this.servers.get(server.id), server),
        );
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
        // After the servers are stored, so that listeners find them.
        this.rowListeners.forEach((listener) => listener(newer));
        const removedNow = removed.filter((server) => this.removeServer(server, services));
        if (services.size > 0) {
            this.digest = undefined;
            services.forEach((service) => this.updateReadyServers(service));
            this.changeListeners.forEach((listener) =>
                listener({ changed: routingChanges, removed: removedNow }),
            );
        }
    }

    /**
     * Records that a server said itself that it leaves.
     *
     * @param id - The server.
     * @param bornMs - Start of the server that said so, in milliseconds since the Unix epoch.
     * @returns Whether this was not known.
     */
    recordLeaving(id: string, bornMs: number | undefined): boolean {
        if (this.leavingStarts.has(id) && this.leavingStarts.get(id) === bornMs) {
            return false;
        }
        this.leavingStarts.delete(id);
        this.leavingStarts.set(id, bornMs);
        const [oldest] = this.leavingStarts.keys();
        if (this.leavingStarts.size > maximumLeavingStarts && oldest !== undefined) {
            this.leavingStarts.delete(oldest);
        }
        const server = this.servers.get(id);
        if (server !== undefined) {
            this.logger.writeEvent("serverSaysLeaving", { server: id, service: server.service, bornMs });
            this.updateReadyServers(server.service);
        }
        return true;
    }

    /** @returns A digest of all fields that affect routing; equal on nodes that know the same servers. */
    computeDigest(): string {
        this.digest ??= this.buildDigest();
        return this.digest;
    }

    /**
     * Lists the servers of a service that accept new requests.
     *
     * @param service - Name of the service.
     * @returns The ready servers.
     */
    listReadyServers(service: string): readonly RegisteredServer[] {
        return this.readyByService.get(service) ?? [];
    }

    /**
     * Lists all registered servers of a service, including those that are leaving.
     *
     * @param service - Name of the service.
     * @returns The servers.
     */
    listServers(service: string): readonly RegisteredServer[] {
        return [...this.servers.values()]
            .filter((server) => server.service === service)
            .map((server) => (this.isLeaving(server) ? { ...server, state: "leaving" } : server));
    }

    /** @returns All registered servers. */
    listAllServers(): readonly RegisteredServer[] {
        return [...this.servers.values()];
    }

    /**
     * Finds a server by its identifier.
     *
     * @param id - Identifier of the server.
     * @returns The server, or undefined when it is not registered.
     */
    findServer(id: string): RegisteredServer | undefined {
        return this.servers.get(id);
    }

    /**
     * Finds a server by its address.
     *
     * @param address - IP address and port.
     * @returns The server, or undefined when none is registered there.
     */
    findServerAt(address: string): RegisteredServer | undefined {
        return [...this.servers.values()].find((server) => server.address === address);
    }

    /**
     * Checks whether an entry is only in the store because it has come back from an older copy: it was removed before,
     * and nobody has written it since.
     */
    private isRevived({ id, version }: RegisteredServer): boolean {
        const removed = this.removedVersions.get(id);
        return (
            removed !== undefined &&
            readEra(version) > readEra(removed) &&
            version <= this.eraStartVersion &&
            !this.servers.has(id)
        );
    }

    /** Keeps a server leaving that an older copy of the store calls ready; only another start of it ends that. */
    private copyLeavingState(server: RegisteredServer): RegisteredServer {
        const known = this.servers.get(server.id);
        const isOlderCopy =
            known?.state === "leaving" &&
            known.bornMs === server.bornMs &&
            readEra(server.version) > readEra(known.version);
        return isOlderCopy ? { ...server, state: "leaving" } : server;
    }

    private isLeaving({ id, bornMs }: RegisteredServer): boolean {
        return this.leavingStarts.has(id) && this.leavingStarts.get(id) === bornMs;
    }

    private isNewer(server: RegisteredServer): boolean {
        const known = this.servers.get(server.id)?.version ?? this.completeVersion;
        const removed = this.removedVersions.get(server.id) ?? Number.NEGATIVE_INFINITY;
        return server.version >= known && server.version > removed;
    }

    /** Keeps the software version that a node of an earlier release omits when it relays a registration. */
    private copyKnownVersion(server: RegisteredServer): RegisteredServer {
        const known = this.servers.get(server.id);
        return server.softwareVersion === undefined && known?.version === server.version
            ? { ...server, softwareVersion: known.softwareVersion }
            : server;
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
            const { service, address, dataCentre, slots, state, bornMs, softwareVersion } =
                this.servers.get(id)!;
            const fields = [id, service, address, dataCentre, slots, state, bornMs, softwareVersion];
            hash.update(JSON.stringify(fields));
        }
        return hash.digest("base64");
    }

    private updateReadyServers(service: string): void {
        const ready = this.listServers(service).filter((server) => server.state === "ready");
        this.readyByService.set(service, ready);
        this.readyListeners.forEach((listener) => listener(service, ready));
    }

    private writeChangeEvent(known: RegisteredServer | undefined, server: RegisteredServer): void {
        const { id, service, dataCentre, state, softwareVersion, bornMs } = server;
        if (known === undefined || known.state !== state || known.bornMs !== bornMs) {
            const event = state === "leaving" ? "backendLeaving" : "backendRegistered";
            this.logger.writeEvent(event, { server: id, service, dataCentre, softwareVersion, bornMs });
        }
    }
}

/** Compares the fields that affect routing: a heartbeat without changes must not notify listeners. */
function isRoutingUnchanged(known: RegisteredServer | undefined, server: RegisteredServer): boolean {
    return (
        known !== undefined &&
        known.service === server.service &&
        known.address === server.address &&
        known.dataCentre === server.dataCentre &&
        known.slots === server.slots &&
        known.state === server.state &&
        known.bornMs === server.bornMs &&
        known.softwareVersion === server.softwareVersion
    );
}
