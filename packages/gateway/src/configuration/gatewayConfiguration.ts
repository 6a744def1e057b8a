/**
 * The configuration of a gateway: routes, services, customers and bounds, as one version.
 *
 * @packageDocumentation
 */

/** What may be repeated on a route. */
export type RouteKind = "repeatable" | "once" | "stream";

/** A service that gets a share of a route's requests. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** One route. */
export interface RouteRule {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Longest time that a caller is kept waiting, in milliseconds. */
    readonly timeoutMs: number;
    /** Time within which an answer, or a stream's first event, is on time, in milliseconds. */
    readonly targetMs: number;
    /** Longest pause between the events of a stream that is on time, in milliseconds; undefined for whole answers. */
    readonly pauseTargetMs: number | undefined;
    /** Rank; 0 is the most urgent. */
    readonly priority: number;
    readonly targets: readonly RouteTarget[];
    /** Most backend servers to which one request may be sent. */
    readonly maximumAttempts: number;
    /** Whether the route is open to callers without a key. */
    readonly isOpen: boolean;
    /** Whether a broken stream may go on at another server. */
    readonly isResumable: boolean;
}

/** What the engines of a service can hold. */
export interface EngineTraits {
    /** Tokens in memory. */
    readonly capacityTokens: number;
}

/** How many servers of a service may be ordered. */
export interface OrderingRule {
    /** Per data centre. */
    readonly minimum: number;
    readonly maximum: number;
    /** Time until an ordered server serves, in milliseconds. */
    readonly startMs: number;
    /** Price of a reclaimable server as a share of the usual price; undefined when there are none. */
    readonly reclaimablePrice: number | undefined;
    /** Price of a server by data centre. */
    readonly prices: Readonly<Record<string, number>>;
}

/** One service. */
export interface ServiceRule {
    readonly name: string;
    /** Connections that a server accepts from all nodes together. */
    readonly maximumConnections: number;
    /** Undefined for plain services. */
    readonly engine: EngineTraits | undefined;
    /** Undefined when its servers cannot be ordered. */
    readonly ordering: OrderingRule | undefined;
}

/** One customer. */
export interface CustomerRule {
    readonly name: string;
    readonly keys: readonly string[];
    /** Rank before that of the route; undefined when the customer has none. */
    readonly priority: number | undefined;
}

/** Bounds on what callers may send. */
export interface CallerBounds {
    readonly maximumBodyBytes: number;
    /** How long an idle connection of a caller stays open, in milliseconds. */
    readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface GatewayConfiguration {
    readonly version: number;
    readonly routes: readonly RouteRule[];
    readonly services: readonly ServiceRule[];
    /** Undefined when no keys are asked for. */
    readonly customers: readonly CustomerRule[] | undefined;
    readonly bounds: CallerBounds;
}
