/**
 * Clients of the platform services that a daemon uses.
 *
 * @packageDocumentation
 */
import {
    HttpHostList,
    HttpOrderingService,
    HttpTableService,
    HttpUsageReportService,
    type HostList,
    type OrderingService,
    type TableService,
    type UsageReportService,
} from "@pimentocleat/services";

/** Timeout of one call to a platform service, in milliseconds. */
const callTimeoutMs = 2_000;

/** Clients of the platform's services. */
export interface PlatformServices {
    readonly tableService: TableService;
    readonly hostList: HostList;
    /** Absent where no backend servers are ordered. */
    readonly orderingService?: OrderingService;
    /** Absent where no usage is reported. */
    readonly reportService?: UsageReportService;
    /** Closes the connections. */
    close(): Promise<void>;
}

/**
 * Creates the clients of the platform's services.
 *
 * @param address - IP address and port of the platform.
 * @returns The clients; no call is made yet.
 */
export function createPlatformServices(address: string): PlatformServices {
    const options = { address, timeoutMs: callTimeoutMs };
    const tableService = new HttpTableService(options);
    const hostList = new HttpHostList(options);
    const orderingService = new HttpOrderingService(options);
    const reportService = new HttpUsageReportService(options);
    const all = [tableService, hostList, orderingService, reportService];
    const close = async (): Promise<void> => {
        await Promise.all(all.map((service) => service.close()));
    };
    return { tableService, hostList, orderingService, reportService, close };
}
