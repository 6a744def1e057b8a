/**
 * The platform's lagging list of live and leaving hosts.
 *
 * @packageDocumentation
 */

/** A host as the platform sees it; the list lags behind reality. */
export interface ListedHost {
    readonly name: string;
    readonly dataCentre: string;
    /** IP address and port of the peer interface for entry hosts, of the server for backend servers. */
    readonly address: string;
    readonly role: "entry" | "backend";
    readonly state: "live" | "leaving";
    /** Wall time at which a leaving host goes, in milliseconds since the Unix epoch. */
    readonly leavesAtMs?: number;
}

/** Client of the host list; throws a `PlatformError` on failure. */
export interface HostList {
    /**
     * Reads the list.
     *
     * @returns All hosts the platform knows of.
     */
    listHosts(): Promise<readonly ListedHost[]>;
}
