/**
 * The configuration of a gateway, versioned as a whole: routes, services, customers and limits.
 *
 * @packageDocumentation
 */

/** Retry semantics of a route: idempotent requests, requests that run at most once, or event streams. */
export type RouteKind = "repeatable" | "once" | "stream";

/** A service that receives a share of a route's requests. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** A route. */
export interface RouteRule {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Maximum time until a caller's request ends, in milliseconds. */
    readonly timeoutMs: number;
    /** Latency target of a complete response or of a stream's first event, in milliseconds. */
    readonly targetMs: number;
    /** Target for the longest pause between events of a stream, in milliseconds; undefined for complete responses. */
    readonly pauseTargetMs: number | undefined;
    /** Priority rank; 0 is the most urgent. */
    readonly priority: number;
    readonly targets: readonly RouteTarget[];
    /** Maximum number of backend servers to which one request may be sent. */
    readonly maximumAttempts: number;
    /** Whether the route is open to callers without a key. */
    readonly isOpen: boolean;
    /** Whether an interrupted stream may be resumed on another server. */
    readonly isResumable: boolean;
}

/** Capacity of the inference engines of a service. */
export interface EngineTraits {
    /** Number of tokens that fit in an engine's cache memory. */
    readonly capacityTokens: number;
}

/** Limits and prices for ordering servers of a service. */
export interface OrderingRule {
    /** Minimum number of servers per data centre. */
    readonly minimum: number;
    /** Maximum number of servers per data centre. */
    readonly maximum: number;
    /** Time from the order of a server until it is ready, in milliseconds. */
    readonly startMs: number;
    /** Price of a reclaimable server as a fraction of the standard price; undefined when none are offered. */
    readonly reclaimablePrice: number | undefined;
    /** Price of a standard server by data centre. */
    readonly prices: Readonly<Record<string, number>>;
}

/** How the servers of a service behave just after they start. */
export interface ColdStartRule {
    /** Time for which a server is cold after it starts, in milliseconds. */
    readonly durationMs: number;
    /** Requests per second that a cold server takes from all nodes combined. */
    readonly requestsPerSecond: number;
}

/** A service. */
export interface ServiceRule {
    readonly name: string;
    /** Maximum number of connections that a server accepts from all nodes combined. */
    readonly maximumConnections: number;
    /** Undefined for services without inference engines. */
    readonly engine: EngineTraits | undefined;
    /** Undefined when its servers cannot be ordered. */
    readonly ordering: OrderingRule | undefined;
    /** Undefined for services whose servers are never cold. */
    readonly coldStart?: ColdStartRule | undefined;
}

/** A customer. */
export interface CustomerRule {
    readonly name: string;
    readonly keys: readonly string[];
    /** Priority that overrides the route's; undefined when the customer has none. */
    readonly priority: number | undefined;
}

/** Limits for callers. */
export interface CallerBounds {
    readonly maximumBodyBytes: number;
    /** Idle timeout of a caller's connection, in milliseconds. */
    readonly idleTimeoutMs: number;
}

/** A version of the configuration. */
export interface GatewayConfiguration {
    readonly version: number;
    readonly routes: readonly RouteRule[];
    readonly services: readonly ServiceRule[];
    /** Undefined when API keys are not required. */
    readonly customers: readonly CustomerRule[] | undefined;
    readonly bounds: CallerBounds;
}
