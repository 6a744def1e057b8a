/**
 * Synchronizes a node's withdrawals with the store and the peers.
 *
 * @packageDocumentation
 */
import type { Logger } from "@pimentocleat/telemetry";
import type { Clock } from "@pimentocleat/types";
import type { ConfiguredKeyRegistry } from "./configuredKeyRegistry.js";
import type { KeyWithdrawal } from "./withdrawal.js";
import type { WithdrawalPeers } from "./withdrawalPeers.js";
import type { WithdrawalStore } from "./withdrawalStore.js";

/** Time within which a withdrawal retries the store before it returns, in milliseconds. */
const recordTimeoutMs = 3_000;

/** The result of a withdrawal. */
export type WithdrawResult =
    /** In force on this node and durable: recorded in the store, known to peers, or both. */
    | { readonly type: "accepted"; readonly recorded: boolean; readonly peers: number }
    | { readonly type: "alreadyWithdrawn" }
    | { readonly type: "unknownKey" }
    /** In force on this node only; it will be recorded when the store or a peer is reachable again. */
    | { readonly type: "localOnly" };

/** Options of {@link WithdrawalFollower}. */
export interface WithdrawalFollowerOptions {
    readonly registry: ConfiguredKeyRegistry;
    readonly store: WithdrawalStore;
    readonly peers: WithdrawalPeers;
    readonly clock: Clock;
    readonly logger: Logger;
}

/** Reads new withdrawals, writes those that the store does not have, and sends them to peers. */
export class WithdrawalFollower {
    private lastSequence = 0;
    private isLoaded = false;

    /** @param options - The registry, the store and the peers. */
    constructor(private readonly options: WithdrawalFollowerOptions) {}

    /** @returns Whether all withdrawals have been read at least once, from the store or from a peer. */
    hasLoaded(): boolean {
        return this.isLoaded;
    }

    /**
     * Reads the withdrawals that the store has and this node does not have yet.
     *
     * @param sequence - Sequence number of the last stored withdrawal.
     */
    async followHead(sequence: number): Promise<void> {
        if (sequence > this.lastSequence) {
            // Polls may overlap, so the rows are counted from the position at which this poll began.
            const after = this.lastSequence;
            const withdrawals = await this.options.store.readAfter(after);
            this.options.registry.addWithdrawals(withdrawals, true);
            this.lastSequence = Math.max(this.lastSequence, after + withdrawals.length);
        }
        this.isLoaded = true;
    }

    /**
     * Reads the withdrawals known to the peers.
     *
     * @returns Whether a reachable peer had itself loaded all withdrawals, so that this node's are up to date now.
     */
    async followPeers(): Promise<boolean> {
        const withdrawals = await this.options.peers.readWithdrawals();
        if (withdrawals === undefined) {
            return false;
        }
        this.receiveWithdrawals(withdrawals);
        this.isLoaded = true;
        return true;
    }

    /**
     * Puts withdrawals from a peer into force. This node also writes them to the store, in case the peer stops before
     * it has written them.
     *
     * @param withdrawals - The withdrawals.
     */
    receiveWithdrawals(withdrawals: readonly KeyWithdrawal[]): void {
        this.options.registry.addWithdrawals(withdrawals, false);
    }

    /** Writes to the store the withdrawals that it is not known to have. */
    async recordPending(): Promise<void> {
        const pending = this.options.registry.listUnrecorded();
        if (pending.length > 0) {
            await this.recordWithdrawals(pending);
        }
    }

    /**
     * Withdraws a key: immediately on this node, then in the store and on the peers.
     *
     * @param keyId - Identifier of the key.
     * @param author - The operator who withdraws it.
     * @returns The result.
     */
    async withdrawKey(keyId: string, author: string): Promise<WithdrawResult> {
        const { registry, clock } = this.options;
        const isPending = registry.listUnrecorded().some((pending) => pending.keyId === keyId);
        if (registry.isWithdrawn(keyId) && !isPending) {
            return { type: "alreadyWithdrawn" };
        }
        const key = registry.findKeyById(keyId);
        if (key === undefined && !isPending) {
            return { type: "unknownKey" };
        }
        if (key !== undefined) {
            const withdrawal = { keyId, digest: key.digest, withdrawnAtMs: clock.wallMs(), author };
            registry.addWithdrawals([withdrawal], false);
        }
        const pending = registry.listUnrecorded();
        const [recorded, peers] = await Promise.all([this.tryRecord(pending), this.trySpread(pending)]);
        return recorded || peers > 0 ? { type: "accepted", recorded, peers } : { type: "localOnly" };
    }

    private async tryRecord(withdrawals: readonly KeyWithdrawal[]): Promise<boolean> {
        try {
            await this.recordWithdrawals(withdrawals);
            return true;
        } catch (error) {
            this.options.logger.writeEvent("withdrawalNotRecorded", { message: String(error) });
            return false;
        }
    }

    private async trySpread(withdrawals: readonly KeyWithdrawal[]): Promise<number> {
        try {
            return await this.options.peers.spreadWithdrawals(withdrawals);
        } catch {
            return 0;
        }
    }

    private async recordWithdrawals(withdrawals: readonly KeyWithdrawal[]): Promise<void> {
        const deadlineMs = this.options.clock.monotonicMs() + recordTimeoutMs;
        await this.options.store.appendWithdrawals(withdrawals, deadlineMs);
        this.options.registry.addWithdrawals(withdrawals, true);
    }
}
