/**
 * The platform's list of live and leaving hosts, which lags behind their actual state.
 *
 * @packageDocumentation
 */

/** A host as the platform last saw it. */
export interface ListedHost {
    readonly name: string;
    readonly dataCentre: string;
    /** IP address and port of the peer interface for entry hosts, of the server for backend servers. */
    readonly address: string;
    readonly role: "entry" | "backend";
    readonly state: "live" | "leaving";
    /** Wall time at which a leaving host becomes unavailable, in milliseconds since the Unix epoch. */
    readonly leavesAtMs?: number;
}

/** Client of the host list; its method throws a `PlatformError` on failure. */
export interface HostList {
    /**
     * Reads the list.
     *
     * @returns All hosts known to the platform.
     */
    listHosts(): Promise<readonly ListedHost[]>;
}
