/**
 * Claims on idempotency keys, so that a request that is not safe to repeat runs at most once.
 *
 * @packageDocumentation
 */

/** The request that a claim is made for. */
export interface ClaimRequest {
    readonly customer: string;
    readonly route: string;
    readonly idempotencyKey: string;
    /** SHA-256 digest of method, path, query and body, in hexadecimal. */
    readonly requestDigest: string;
    readonly requestId: string;
    readonly node: string;
}

/** A claim that this process holds. */
export interface Claim {
    readonly key: string;
    readonly token: string;
    readonly version: number;
}

/** The recorded response to a claimed request. */
export interface StoredAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    /** Body in base64. */
    readonly body: string;
}

/** How a claimed request ended. */
export type ClaimOutcome =
    | { readonly type: "answered"; readonly answer: StoredAnswer }
    /** The request provably did not run; the claim is released so that the key can be used again. */
    | { readonly type: "notRun" }
    | { readonly type: "unknown" };

/** The result of an attempt to claim a key. */
export type ClaimResult =
    | { readonly type: "claimed"; readonly claim: Claim }
    | { readonly type: "answered"; readonly answer: StoredAnswer }
    | { readonly type: "inProgress" }
    | { readonly type: "outcomeUnknown" }
    | { readonly type: "conflict" }
    | { readonly type: "unavailable"; readonly retryAfterMs: number };

/** Claims idempotency keys. The claims of every node are visible to all nodes. */
export interface ClaimStore {
    /** Claims a key. Never takes over the claim of another request. */
    claimKey(request: ClaimRequest): Promise<ClaimResult>;
    /** Records how the request ended. Retries in the background while the store is unavailable. */
    recordOutcome(claim: Claim, outcome: ClaimOutcome): Promise<void>;
}
