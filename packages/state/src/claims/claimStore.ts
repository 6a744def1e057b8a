/**
 * Claims of idempotency keys: at most one run of a request that may not be repeated.
 *
 * @packageDocumentation
 */

/** What a claim is for. */
export interface ClaimRequest {
    readonly customer: string;
    readonly route: string;
    readonly idempotencyKey: string;
    /** SHA-256 of method, path, query and body, in hexadecimal. */
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

/** The recorded answer of a claimed request. */
export interface StoredAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    /** Body, base64. */
    readonly body: string;
}

/** How a claimed request ended. */
export type ClaimOutcome =
    | { readonly type: "answered"; readonly answer: StoredAnswer }
    /** Proved not run; the claim is released so that the key may be used again. */
    | { readonly type: "notRun" }
    | { readonly type: "unknown" };

/** The result of trying to claim. */
export type ClaimResult =
    | { readonly type: "claimed"; readonly claim: Claim }
    | { readonly type: "answered"; readonly answer: StoredAnswer }
    | { readonly type: "inProgress" }
    | { readonly type: "outcomeUnknown" }
    | { readonly type: "conflict" }
    | { readonly type: "unavailable"; readonly retryAfterMs: number };

/** Claims idempotency keys; any node sees any node's claims. */
export interface ClaimStore {
    /** Claims a key; never takes over another's claim. */
    claimKey(request: ClaimRequest): Promise<ClaimResult>;
    /** Records how the request ended. Retries in the background when the store is down. */
    recordOutcome(claim: Claim, outcome: ClaimOutcome): Promise<void>;
}
