/**
 * A caller's request after its key and route were checked.
 *
 * @packageDocumentation
 */
import type { PromptPart } from "@pimentocleat/policy";
import type { CustomerRule, RouteRule } from "../configuration/gatewayConfiguration.js";

/** What a caller's request head says, in the product's terms. */
export interface CallerHead {
    readonly requestId: string;
    /** Host without a port, in lower case. */
    readonly host: string;
    readonly method: string;
    /** Path and query, unchanged. */
    readonly path: string;
    /** Time that the caller waits, in milliseconds; undefined when it does not say. */
    readonly timeoutMs: number | undefined;
    readonly key: string | undefined;
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    /** Identifier of the last event that the caller has from an earlier attempt. */
    readonly lastEventId: string | undefined;
    /** Headers that go on to the backend server, as name and value in turn. */
    readonly forwardedHeaders: readonly string[];
}

/** A request that may be dispatched. */
export interface GatewayRequest {
    readonly head: CallerHead;
    readonly body: Buffer | undefined;
    readonly route: RouteRule;
    readonly service: string;
    readonly customer: CustomerRule | undefined;
    /** Monotonic time at which its head was read, in milliseconds. */
    readonly arrivedMs: number;
    /** Monotonic time by which it gets its final answer, in milliseconds. */
    readonly deadlineMs: number;
}
