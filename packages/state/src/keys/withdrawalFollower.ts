/**
 * Keeps a node's withdrawals in step with the store and the peers.
 *
 * @packageDocumentation
 */
import type { Logger } from "@pimentocleat/telemetry";
import type { Clock } from "@pimentocleat/types";
import type { ConfiguredKeyRegistry } from "./configuredKeyRegistry.js";
import type { KeyWithdrawal } from "./withdrawal.js";
import type { WithdrawalPeers } from "./withdrawalPeers.js";
import type { WithdrawalStore } from "./withdrawalStore.js";

/** How long one withdrawal tries to reach the store before its answer, in milliseconds. */
const recordTimeoutMs = 3_000;

/** What became of a withdrawal. */
export type WithdrawResult =
    /** In force here and lasting: recorded in the store, held by peers, or both. */
    | { readonly type: "accepted"; readonly recorded: boolean; readonly peers: number }
    | { readonly type: "alreadyWithdrawn" }
    | { readonly type: "unknownKey" }
    /** In force on this node only; it is recorded as soon as the store or a peer can be reached. */
    | { readonly type: "localOnly" };

/** Options of {@link WithdrawalFollower}. */
export interface WithdrawalFollowerOptions {
    readonly registry: ConfiguredKeyRegistry;
    readonly store: WithdrawalStore;
    readonly peers: WithdrawalPeers;
    readonly clock: Clock;
    readonly logger: Logger;
}

/** Reads new withdrawals, writes those that the store lacks and passes them to peers. */
export class WithdrawalFollower {
    private lastSequence = 0;
    private isLoaded = false;

    /** @param options - The registry, the store and the peers. */
    constructor(private readonly options: WithdrawalFollowerOptions) {}

    /** @returns Whether all withdrawals were read once, from the store or from a peer. */
    hasLoaded(): boolean {
        return this.isLoaded;
    }

    /**
     * Reads the withdrawals that the store has and this node has not.
     *
     * @param sequence - Number of the last stored withdrawal.
     */
    async followHead(sequence: number): Promise<void> {
        if (sequence > this.lastSequence) {
            // Polls may overlap, so the rows count from where this one began.
            const after = this.lastSequence;
            const withdrawals = await this.options.store.readAfter(after);
            this.options.registry.addWithdrawals(withdrawals, true);
            this.lastSequence = Math.max(this.lastSequence, after + withdrawals.length);
        }
        this.isLoaded = true;
    }

    /**
     * Reads the withdrawals that the peers know.
     *
     * @returns Whether a peer was reached.
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
     * Brings withdrawals from a peer into force. This node writes them too, in case the peer is gone by then.
     *
     * @param withdrawals - The withdrawals.
     */
    receiveWithdrawals(withdrawals: readonly KeyWithdrawal[]): void {
        this.options.registry.addWithdrawals(withdrawals, false);
    }

    /** Writes the withdrawals that the store is not known to have. */
    async recordPending(): Promise<void> {
        const pending = this.options.registry.listUnrecorded();
        if (pending.length > 0) {
            await this.recordWithdrawals(pending);
        }
    }

    /**
     * Withdraws a key: at once on this node, then in the store and on the peers.
     *
     * @param keyId - The key's identifier.
     * @param author - Who withdraws it.
     * @returns What became of it.
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
