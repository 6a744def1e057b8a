/**
 * Synchronizes the directory of backend servers with their registrations in the store.
 *
 * @packageDocumentation
 */
import type { Row, RowChange } from "@pimentocleat/services";
import type { Logger } from "@pimentocleat/telemetry";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { RemovedServer, ServerDirectory } from "../backends/serverDirectory.js";
import type { PlatformAdapter } from "../lifecycle/platformAdapter.js";
import type { RowReceiver } from "./rowFollower.js";

/** Receives rows of the server table. */
export class ServerReceiver implements RowReceiver {
    private readonly unreadableKeys = new Set<string>();
    private hasTable = false;

    /**
     * @param adapter - Decodes servers.
     * @param directory - Receives the servers.
     * @param logger - Records rows that cannot be decoded.
     */
    constructor(
        private readonly adapter: PlatformAdapter,
        private readonly directory: ServerDirectory,
        private readonly logger: Logger,
    ) {}

    setRows(rows: readonly Row[], position: number): void {
        const servers = rows.map((row) => this.decodeRow(row)).filter((server) => server !== undefined);
        this.directory.setServers(servers, position);
        this.hasTable = true;
    }

    /** @returns Whether the complete table was read at least once. */
    hasServers(): boolean {
        return this.hasTable;
    }

    applyChanges(changes: readonly RowChange[]): void {
        const changed: RegisteredServer[] = [];
        const removed: RemovedServer[] = [];
        for (const change of changes) {
            const server = change.type === "put" ? this.decodeRow(change.row) : undefined;
            if (server !== undefined) {
                changed.push(server);
                continue;
            }
            const { key: id, version } = change.type === "put" ? change.row : change;
            removed.push({ id, version });
        }
        const isNotSuperseded = ({ id, version }: RemovedServer): boolean =>
            !changed.some((server) => server.id === id && server.version > version);
        this.directory.updateServers(changed, removed.filter(isNotSuperseded));
    }

    /** Returns undefined for a row that cannot be decoded, and logs each such row once. */
    private decodeRow(row: Row): RegisteredServer | undefined {
        try {
            const server = this.adapter.decodeServer(row);
            this.unreadableKeys.delete(row.key);
            return server;
        } catch (error) {
            if (!this.unreadableKeys.has(row.key)) {
                this.unreadableKeys.add(row.key);
                this.logger.writeEvent("serverEntryUnreadable", { server: row.key, reason: String(error) });
            }
            return undefined;
        }
    }
}
