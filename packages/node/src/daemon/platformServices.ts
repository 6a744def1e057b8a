/**
 * The platform's services as the daemon uses them.
 *
 * @packageDocumentation
 */
import { HttpHostList, HttpTableService, type HostList, type TableService } from "@pimentocleat/platform";

/** Bound on one call to a platform service, in milliseconds. */
const callTimeoutMs = 2_000;

/** Clients of the platform's services. */
export interface PlatformServices {
    readonly tableService: TableService;
    readonly hostList: HostList;
    /** Closes the connections. */
    close(): Promise<void>;
}

/**
 * Creates the clients.
 *
 * @param address - IP address and port of the platform.
 * @returns The clients; no call is made yet.
 */
export function createPlatformServices(address: string): PlatformServices {
    const options = { address, timeoutMs: callTimeoutMs };
    const tableService = new HttpTableService(options);
    const hostList = new HttpHostList(options);
    const close = async (): Promise<void> => {
        await Promise.all([tableService.close(), hostList.close()]);
    };
    return { tableService, hostList, close };
}
