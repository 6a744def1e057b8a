/**
 * Look-up of callers' keys on a node.
 *
 * @packageDocumentation
 */
import type { Key } from "@pimentocleat/schema";

/** What a presented secret is. */
export type KeyLookup =
    | { readonly type: "valid"; readonly key: Key }
    | { readonly type: "withdrawn"; readonly keyId: string }
    | { readonly type: "unknown" };

/** The keys in force on this node. */
export interface KeyRegistry {
    /** Looks a secret up by its digest. */
    findKey(secret: string): KeyLookup;
    /** Whether a key identifier has been withdrawn. */
    isWithdrawn(keyId: string): boolean;
    /** Subscribes to withdrawals; returns the function that unsubscribes. */
    onWithdrawal(listener: (keyId: string) => void): () => void;
}
