/**
 * Keeps the directory of backend servers in step with their registrations in the store.
 *
 * @packageDocumentation
 */
import type { Row, RowChange } from "@pimentocleat/services";
import type { Logger } from "@pimentocleat/telemetry";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { ServerDirectory } from "../backends/serverDirectory.js";
import type { PlatformAdapter } from "../lifecycle/platformAdapter.js";
import type { RowReceiver } from "./rowFollower.js";

/** Receives rows of the table of servers. */
export class ServerReceiver implements RowReceiver {
    private readonly unreadable = new Set<string>();

    /**
     * @param adapter - Decodes servers.
     * @param directory - The servers.
     * @param logger - Notes what cannot be read.
     */
    constructor(
        private readonly adapter: PlatformAdapter,
        private readonly directory: ServerDirectory,
        private readonly logger: Logger,
    ) {}

    setRows(rows: readonly Row[]): void {
        const servers = rows.map((row) => this.decodeRow(row)).filter((server) => server !== undefined);
        this.directory.setServers(servers);
    }

    applyChanges(changes: readonly RowChange[]): void {
        const changed: RegisteredServer[] = [];
        const removed: string[] = [];
        for (const change of changes) {
            const server = change.type === "put" ? this.decodeRow(change.row) : undefined;
            const key = change.type === "put" ? change.row.key : change.key;
            if (server === undefined) {
                removed.push(key);
            } else {
                changed.push(server);
            }
        }
        this.directory.updateServers(
            changed,
            removed.filter((key) => !changed.some(({ id }) => id === key)),
        );
    }

    /** An entry that cannot be read names no server to use; it is noted once. */
    private decodeRow(row: Row): RegisteredServer | undefined {
        try {
            const server = this.adapter.decodeServer(row);
            this.unreadable.delete(row.key);
            return server;
        } catch (error) {
            if (!this.unreadable.has(row.key)) {
                this.unreadable.add(row.key);
                this.logger.writeEvent("serverEntryUnreadable", { server: row.key, reason: String(error) });
            }
            return undefined;
        }
    }
}
