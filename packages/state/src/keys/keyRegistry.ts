/**
 * Looks up the keys of callers on a node.
 *
 * @packageDocumentation
 */
import type { Key } from "@pimentocleat/schema";

/** The result of looking up a secret. */
export type KeyLookup =
    | { readonly type: "valid"; readonly key: Key }
    | { readonly type: "withdrawn"; readonly keyId: string }
    | { readonly type: "unknown" };

/** The keys in force on this node. */
export interface KeyRegistry {
    /** Looks up a secret by its digest. */
    findKey(secret: string): KeyLookup;
    /** Checks whether a key identifier has been withdrawn. */
    isWithdrawn(keyId: string): boolean;
    /** Subscribes to withdrawals; returns the function that unsubscribes. */
    onWithdrawal(listener: (keyId: string) => void): () => void;
}
