/**
 * A caller's request, before and after its API key and route are checked.
 *
 * @packageDocumentation
 */
import type { PromptPart } from "@pimentocleat/policy";
import type { CustomerRule, RouteRule } from "../configuration/gatewayConfiguration.js";

/** Head of a caller's request, decoded from the caller protocol. */
export interface CallerHead {
    readonly requestId: string;
    /** Host without a port, in lower case. */
    readonly host: string;
    readonly method: string;
    /** Path and query, unchanged. */
    readonly path: string;
    /** Time that the caller waits for the response, in milliseconds; undefined when not specified. */
    readonly timeoutMs: number | undefined;
    readonly key: string | undefined;
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    /** Identifier of the last event that the caller received before it reconnected. */
    readonly lastEventId: string | undefined;
    /** Identifier of the request whose response brought the first event of a stream that this request continues. */
    readonly resumedRequestId: string | undefined;
    /** Headers that are forwarded to the backend server, as alternating names and values. */
    readonly forwardedHeaders: readonly string[];
}

/** Number of route priorities within one priority of a customer. */
const routePriorities = 3;

/** An admitted request. */
export interface GatewayRequest {
    /** The head; the identifiers of its parts are keys of bounded length. */
    readonly head: CallerHead;
    /** The parts of the prompt by which servers are compared; those of a long list are merged. */
    readonly comparedParts: readonly PromptPart[];
    readonly body: Buffer | undefined;
    readonly route: RouteRule;
    readonly service: string;
    readonly customer: CustomerRule | undefined;
    /** Monotonic time at which the head was read, in milliseconds. */
    readonly arrivedMs: number;
    /** Monotonic time by which the response must be complete, in milliseconds. */
    readonly deadlineMs: number;
}

/**
 * Computes a request's priority; the customer's priority takes precedence over the route's.
 *
 * @param request - The request.
 * @returns The priority; 0 is the most urgent.
 */
export function computePriority({ customer, route }: Pick<GatewayRequest, "customer" | "route">): number {
    return (customer?.priority ?? 0) * routePriorities + Math.min(route.priority, routePriorities - 1);
}

/**
 * Checks whether a request may be retried although it may already have run.
 *
 * @param request - The request.
 * @returns Whether a retry is safe.
 */
export function isRepeatable(request: GatewayRequest): boolean {
    return request.route.kind === "repeatable" || request.route.isResumable;
}
