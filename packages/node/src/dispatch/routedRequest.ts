/**
 * Types of a caller's request after authentication and routing.
 *
 * @packageDocumentation
 */

/** The fields that the router reads from the body of a model request. */
export interface ModelCall {
    readonly model: string;
    readonly streamed: boolean;
    /** Limit of generated tokens set by the caller; undefined when the body has none. */
    readonly maximumTokens: number | undefined;
    /** Estimated prompt length, in tokens. */
    readonly promptTokens: number;
    /** Digests of the prompt's prefixes, in the format of the engines' cache events. */
    readonly prefixBlocks: readonly string[];
    /** Whether an interrupted stream can continue on another engine from the text generated so far. */
    readonly resumable: boolean;
    readonly kind: "chat" | "completion";
}

/** A request ready to dispatch: its key was checked, and its pool and class are resolved. */
export interface RoutedRequest {
    readonly requestId: string;
    /** Monotonic time of the arrival, in milliseconds. */
    readonly arrivedMs: number;
    readonly customer: string;
    /** Undefined on open routes without a key. */
    readonly keyId: string | undefined;
    readonly requestClass: string;
    readonly pool: string;
    /** Path pattern of the matched route. */
    readonly route: string;
    /** Whether the request may be sent to a backend server more than once. */
    readonly repeatable: boolean;
    readonly method: string;
    /** Path and query as forwarded, without credentials. */
    readonly path: string;
    /** Headers as forwarded, without credentials. */
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer | undefined;
    /** Undefined for plain services. */
    readonly modelCall: ModelCall | undefined;
    readonly idempotencyKey: string | undefined;
}

/** A complete response of a backend server. */
export interface CompleteAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
    /** Whether it is the stored response of an earlier request with the same idempotency key. */
    readonly replayed: boolean;
}
