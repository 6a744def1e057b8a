/**
 * A caller's request after authentication and routing.
 *
 * @packageDocumentation
 */

/** What the router reads from the body of a model request. */
export interface ModelCall {
    readonly model: string;
    readonly streamed: boolean;
    readonly maximumTokens: number | undefined;
    /** Estimated prompt length, in tokens. */
    readonly promptTokens: number;
    readonly prefixBlocks: readonly string[];
    /** Whether a broken stream can continue on another engine from the text so far. */
    readonly resumable: boolean;
    readonly kind: "chat" | "completion";
}

/** A request that may be dispatched: its key was checked and it has a pool and a class. */
export interface RoutedRequest {
    readonly requestId: string;
    /** Monotonic time of the arrival, in milliseconds. */
    readonly arrivedMs: number;
    readonly customer: string;
    /** Undefined on open routes without a key. */
    readonly keyId: string | undefined;
    readonly requestClass: string;
    readonly pool: string;
    /** Path pattern of the route. */
    readonly route: string;
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

/** A complete answer of a backend server. */
export interface CompleteAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
    readonly replayed: boolean;
}
