/**
 * A backend server as it registered itself.
 *
 * @packageDocumentation
 */

/** One backend server. */
export interface RegisteredServer {
    readonly id: string;
    /** Version of its registration; grows with each change. */
    readonly version: number;
    readonly service: string;
    /** IP address and port. */
    readonly address: string;
    readonly dataCentre: string;
    readonly slots: number;
    readonly state: "ready" | "leaving";
    /** Start of the server, in milliseconds since the Unix epoch; tells two lives of one identifier apart. */
    readonly bornMs?: number | undefined;
    /** Whether the platform may take it back at any time. */
    readonly isReclaimable: boolean;
}
