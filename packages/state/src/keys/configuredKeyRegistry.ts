/**
 * The keys in force on a node: those of the configuration without those that were withdrawn.
 *
 * @packageDocumentation
 */
import { createHash, timingSafeEqual } from "node:crypto";
import type { Key } from "@pimentocleat/schema";
import type { Logger } from "@pimentocleat/telemetry";
import type { AppliedConfiguration, ConfigurationSource } from "../configuration/configurationSource.js";
import type { KeyLookup, KeyRegistry } from "./keyRegistry.js";
import type { KeyWithdrawal } from "./withdrawal.js";
import { WithdrawalSet } from "./withdrawalSet.js";

/** Digits of a digest that may be compared in variable time; they find the candidates. */
const indexPrefixDigits = 8;

interface IndexedKey {
    readonly key: Key;
    readonly digest: Buffer;
}

/** Options of {@link ConfiguredKeyRegistry}. */
export interface ConfiguredKeyRegistryOptions {
    readonly configuration: ConfigurationSource;
    readonly logger: Logger;
}

/** Looks keys up by digest, in constant time among candidates, and remembers withdrawals for ever. */
export class ConfiguredKeyRegistry implements KeyRegistry {
    private index = new Map<string, IndexedKey[]>();
    private keysById = new Map<string, Key>();
    private readonly withdrawals = new WithdrawalSet();
    private readonly listeners = new Set<(keyId: string) => void>();

    /** @param options - The configuration and the logger. */
    constructor(private readonly options: ConfiguredKeyRegistryOptions) {
        const current = options.configuration.readCurrent();
        if (current !== undefined) {
            this.updateKeys(current);
        }
        options.configuration.onChange((applied) => this.updateKeys(applied));
    }

    findKey(secret: string): KeyLookup {
        const digest = createHash("sha256").update(secret).digest();
        const text = digest.toString("hex");
        const candidates = this.index.get(text.slice(0, indexPrefixDigits)) ?? [];
        let found: Key | undefined;
        for (const candidate of candidates) {
            if (timingSafeEqual(candidate.digest, digest)) {
                found = candidate.key;
            }
        }
        if (found === undefined) {
            return { type: "unknown" };
        }
        return this.isWithdrawn(found.id)
            ? { type: "withdrawn", keyId: found.id }
            : { type: "valid", key: found };
    }

    isWithdrawn(keyId: string): boolean {
        const digest = this.keysById.get(keyId)?.digest;
        return (
            this.withdrawals.hasKeyId(keyId) || (digest !== undefined && this.withdrawals.hasDigest(digest))
        );
    }

    onWithdrawal(listener: (keyId: string) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /**
     * Finds a key by its identifier.
     *
     * @param keyId - The identifier.
     * @returns The key, or undefined when the configuration has none.
     */
    findKeyById(keyId: string): Key | undefined {
        return this.keysById.get(keyId);
    }

    /** @returns The keys of the configuration, withdrawn ones included. */
    listKeys(): readonly Key[] {
        return [...this.keysById.values()];
    }

    /**
     * Adds withdrawals; each is in force when the call returns.
     *
     * @param withdrawals - The withdrawals.
     * @param isRecorded - Whether the store has them.
     */
    addWithdrawals(withdrawals: readonly KeyWithdrawal[], isRecorded: boolean): void {
        for (const withdrawal of withdrawals) {
            if (this.withdrawals.addWithdrawal(withdrawal, isRecorded)) {
                const sameSecret = this.listKeys().filter((key) => key.digest === withdrawal.digest);
                const keyIds = new Set([withdrawal.keyId, ...sameSecret.map((key) => key.id)]);
                keyIds.forEach((keyId) => this.reportWithdrawal(keyId));
            }
        }
    }

    /** @returns All known withdrawals. */
    listWithdrawals(): readonly KeyWithdrawal[] {
        return this.withdrawals.listWithdrawals();
    }

    /** @returns The withdrawals that the store is not known to have. */
    listUnrecorded(): readonly KeyWithdrawal[] {
        return this.withdrawals.listUnrecorded();
    }

    private updateKeys(applied: AppliedConfiguration): void {
        const index = new Map<string, IndexedKey[]>();
        for (const key of applied.configuration.keys) {
            const prefix = key.digest.slice(0, indexPrefixDigits);
            const candidates = index.get(prefix) ?? [];
            candidates.push({ key, digest: Buffer.from(key.digest, "hex") });
            index.set(prefix, candidates);
        }
        const removed = this.listKeys().filter((key) => !isListed(applied.configuration.keys, key));
        this.index = index;
        this.keysById = new Map(applied.configuration.keys.map((key) => [key.id, key]));
        const withdrawn = applied.configuration.keys.filter((key) => key.withdrawn);
        // The store recorded these in the transaction that applied the configuration.
        this.addWithdrawals(
            withdrawn.map(({ id, digest }) => ({
                keyId: id,
                digest,
                withdrawnAtMs: 0,
                author: "configuration",
            })),
            true,
        );
        // A key that left the configuration ends like a withdrawn one, but may be defined again.
        removed.forEach((key) => this.reportWithdrawal(key.id));
    }

    private reportWithdrawal(keyId: string): void {
        this.options.logger.writeEvent("keyWithdrawn", { keyId });
        for (const listener of this.listeners) {
            try {
                listener(keyId);
            } catch (error) {
                this.options.logger.writeEvent("unexpectedError", { message: String(error) });
            }
        }
    }
}

function isListed(keys: readonly Key[], wanted: Key): boolean {
    return keys.some((key) => key.id === wanted.id && key.digest === wanted.digest);
}
