/**
 * The platform's interface for ordering backend servers by data centre.
 *
 * @packageDocumentation
 */

/** The desired number of backend servers of a pool in a data centre; an absolute number, not an increment. */
export interface ServerOrder {
    readonly pool: string;
    readonly dataCentre: string;
    readonly reclaimable: boolean;
    readonly count: number;
    /** Increases with each change of the desired state. */
    readonly generation: number;
    /** Fencing number of the sender's lease. */
    readonly fencingNumber: number;
    /** Node that sends the order; informational only. */
    readonly sender: string;
}

/** Result of an order. */
export type OrderResult =
    | { readonly outcome: "accepted" }
    | { readonly outcome: "stale"; readonly fencingNumber: number; readonly generation: number }
    | { readonly outcome: "noneAvailable"; readonly retryAfterMs: number };

/** Client of the ordering interface; throws a `PlatformError` on failure. */
export interface OrderingService {
    /** Whether the platform rejects an order with an outdated fencing number; defaults to false. */
    readonly checksFencing?: boolean;
    /**
     * Orders backend servers.
     *
     * @param order - The order.
     * @param timeoutMs - Maximum time that the call may be in flight, in milliseconds.
     * @param isSendAllowed - Called in the tick in which the first byte would be sent; if it returns false, nothing
     * is sent and the call fails as `Unavailable`. When absent, sending is allowed.
     * @returns The result of the order.
     */
    orderServers(order: ServerOrder, timeoutMs: number, isSendAllowed?: () => boolean): Promise<OrderResult>;
}
