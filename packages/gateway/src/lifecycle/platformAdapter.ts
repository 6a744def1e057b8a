/**
 * The interface between a gateway node and the platform on which it runs. An adapter only translates.
 *
 * @packageDocumentation
 */
import type {
    EraSource,
    OrderingService,
    Row,
    RowFeed,
    StoreClock,
    TableService,
    UsageReportService,
} from "@pimentocleat/services";
import type { BackendProtocol } from "../backends/backendProtocol.js";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { CallerProtocol } from "../callers/callerProtocol.js";
import type { GatewayConfiguration } from "../configuration/gatewayConfiguration.js";

/** Translates between the gateway and a platform. */
export interface PlatformAdapter {
    readonly callerProtocol: CallerProtocol;
    readonly backendProtocol: BackendProtocol;
    readonly tableService: TableService;
    /** Era of the table service. */
    readonly eras: EraSource;
    /** Clock of the table service. */
    readonly storeClock: StoreClock;
    readonly rowFeed: RowFeed;
    readonly reportService: UsageReportService | undefined;
    readonly orderingService: OrderingService | undefined;
    /** Table of the operators' configuration. */
    readonly configurationTable: string;
    /** Key of the configuration's row in that table. */
    readonly configurationKey: string;
    /** Table in which backend servers register. */
    readonly serverTable: string;
    /** Path of the readiness check. */
    readonly readinessPath: string;
    /**
     * Decodes the configuration.
     *
     * @param row - Row of the configuration.
     * @returns The configuration.
     * @throws Error when the row is invalid.
     */
    decodeConfiguration(row: Row): GatewayConfiguration;
    /**
     * Decodes the key of a row of the configuration table that evacuates a data centre.
     *
     * @param key - Key of the row.
     * @returns Name of the data centre; undefined for any other row.
     */
    decodeEvacuation(key: string): string | undefined;
    /**
     * Decodes a backend server.
     *
     * @param row - Row of the server's registration.
     * @returns The server.
     * @throws Error when the row does not describe a usable server.
     */
    decodeServer(row: Row): RegisteredServer;
    /** Closes all connections to the platform. */
    close(): Promise<void>;
}
