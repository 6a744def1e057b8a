/**
 * The registration of a backend server.
 *
 * @packageDocumentation
 */

/** A registered backend server. */
export interface RegisteredServer {
    readonly id: string;
    /** Version of the registration; increases with each change. */
    readonly version: number;
    readonly service: string;
    /** IP address and port. */
    readonly address: string;
    readonly dataCentre: string;
    readonly slots: number;
    readonly state: "ready" | "leaving";
    /** Start time of the server, in milliseconds since the Unix epoch; distinguishes restarts under one identifier. */
    readonly bornMs?: number | undefined;
    /** Version of the server's software, not of its model; undefined when its registration names none. */
    readonly softwareVersion?: string | undefined;
    /** Time for which the server said that it stays cold, when it wrote the registration, in milliseconds. */
    readonly remainingColdMs?: number | undefined;
    /** Whether the platform may reclaim the server at any time. */
    readonly isReclaimable: boolean;
}
