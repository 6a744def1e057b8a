/**
 * The platform's interface for ordering backend servers by data centre.
 *
 * @packageDocumentation
 */

/** The wanted number of backend servers of a pool in a data centre: a desired state, not an increment. */
export interface ServerOrder {
    readonly pool: string;
    readonly dataCentre: string;
    readonly reclaimable: boolean;
    readonly count: number;
    /** Grows with each change of the wanted state. */
    readonly generation: number;
    /** Fencing number of the sender's lease. */
    readonly fencingNumber: number;
    /** Node that sends the order; for the record only. */
    readonly sender: string;
}

/** What the platform did with an order. */
export type OrderResult =
    | { readonly outcome: "accepted" }
    | { readonly outcome: "stale"; readonly fencingNumber: number; readonly generation: number }
    | { readonly outcome: "noneAvailable"; readonly retryAfterMs: number };

/** Client of the ordering interface; throws a `PlatformError` on failure. */
export interface OrderingService {
    /** Whether the platform refuses an order with an old fencing number; absent means that it does not. */
    readonly checksFencing?: boolean;
    /**
     * Orders servers.
     *
     * @param order - The desired state.
     * @param timeoutMs - Bound on the time on the wire, in milliseconds.
     * @param isSendAllowed - Asked in the tick in which the first byte would leave; on false nothing is
     * sent and the call fails as `Unavailable`. Absent means that the send is allowed.
     * @returns What the platform did.
     */
    orderServers(order: ServerOrder, timeoutMs: number, isSendAllowed?: () => boolean): Promise<OrderResult>;
}
