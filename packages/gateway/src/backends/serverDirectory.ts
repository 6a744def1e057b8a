/**
 * The backend servers that are registered, by service.
 *
 * @packageDocumentation
 */
import type { Logger } from "@pimentocleat/telemetry";
import type { RegisteredServer } from "./backendServer.js";

/** Receives changes of the servers of one service. */
export type DirectoryListener = (service: string, servers: readonly RegisteredServer[]) => void;

/** Holds the registered servers. */
export class ServerDirectory {
    private readonly servers = new Map<string, RegisteredServer>();
    private readonly ready = new Map<string, readonly RegisteredServer[]>();
    private readonly listeners: DirectoryListener[] = [];
    private readonly restartListeners: ((server: RegisteredServer) => void)[] = [];

    /** @param logger - Notes servers that come and leave. */
    constructor(private readonly logger: Logger) {}

    /** @param listener - Called when the ready servers of a service change. */
    addListener(listener: DirectoryListener): void {
        this.listeners.push(listener);
    }

    /** @param listener - Called when a server started again under its identifier. */
    addRestartListener(listener: (server: RegisteredServer) => void): void {
        this.restartListeners.push(listener);
    }

    /**
     * Replaces all servers.
     *
     * @param servers - The servers that are registered now.
     */
    setServers(servers: readonly RegisteredServer[]): void {
        const present = new Set(servers.map((server) => server.id));
        const gone = [...this.servers.keys()].filter((id) => !present.has(id));
        this.updateServers(servers, gone);
    }

    /**
     * Applies changes.
     *
     * @param changed - Servers that registered or changed.
     * @param removed - Identifiers of servers that are no longer registered.
     */
    updateServers(changed: readonly RegisteredServer[], removed: readonly string[]): void {
        const services = new Set<string>();
        for (const server of changed) {
            const known = this.servers.get(server.id);
            this.servers.set(server.id, server);
            if (known !== undefined && known.bornMs !== server.bornMs) {
                this.restartListeners.forEach((listener) => listener(server));
            }
            if (!isSameForCallers(known, server)) {
                services.add(server.service);
                services.add(known?.service ?? server.service);
                this.writeChange(known, server);
            }
        }
        for (const id of removed) {
            const known = this.servers.get(id);
            if (known !== undefined) {
                this.servers.delete(id);
                services.add(known.service);
                this.logger.writeEvent("backendGone", { server: id, service: known.service });
            }
        }
        services.forEach((service) => this.updateReady(service));
    }

    /**
     * Lists the servers that may get new work.
     *
     * @param service - Name of the service.
     * @returns The ready servers.
     */
    listReady(service: string): readonly RegisteredServer[] {
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

    private updateReady(service: string): void {
        const ready = this.listServers(service).filter((server) => server.state === "ready");
        this.ready.set(service, ready);
        this.listeners.forEach((listener) => listener(service, ready));
    }

    private writeChange(known: RegisteredServer | undefined, server: RegisteredServer): void {
        const { id, service, dataCentre, state } = server;
        if (known === undefined || known.state !== state || known.bornMs !== server.bornMs) {
            const event = state === "leaving" ? "backendLeaving" : "backendRegistered";
            this.logger.writeEvent(event, { server: id, service, dataCentre });
        }
    }
}

/** A check-in without any change must not wake the rest of the node. */
function isSameForCallers(known: RegisteredServer | undefined, server: RegisteredServer): boolean {
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
