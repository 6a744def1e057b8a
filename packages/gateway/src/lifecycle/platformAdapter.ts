/**
 * What a gateway node needs of the platform it runs on. An adapter only translates.
 *
 * @packageDocumentation
 */
import type { OrderingService, Row, RowFeed, TableService, UsageReportService } from "@pimentocleat/services";
import type { BackendProtocol } from "../backends/backendProtocol.js";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { CallerProtocol } from "../callers/callerProtocol.js";
import type { GatewayConfiguration } from "../configuration/gatewayConfiguration.js";

/** Translates between the product and a platform. */
export interface PlatformAdapter {
    readonly callerProtocol: CallerProtocol;
    readonly backendProtocol: BackendProtocol;
    readonly tableService: TableService;
    readonly rowFeed: RowFeed;
    readonly reportService: UsageReportService | undefined;
    readonly orderingService: OrderingService | undefined;
    /** Where the operators' configuration lies. */
    readonly configurationTable: string;
    readonly configurationKey: string;
    /** Where backend servers register. */
    readonly serverTable: string;
    /** Path of the readiness check. */
    readonly readinessPath: string;
    /**
     * Decodes the configuration.
     *
     * @param row - Its row.
     * @returns The configuration.
     * @throws Error when the row cannot be read.
     */
    decodeConfiguration(row: Row): GatewayConfiguration;
    /**
     * Decodes a backend server.
     *
     * @param row - Its row.
     * @returns The server.
     * @throws Error when the row names no server to use.
     */
    decodeServer(row: Row): RegisteredServer;
    /** Closes all connections. */
    close(): Promise<void>;
}
