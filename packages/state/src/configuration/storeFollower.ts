/**
 * The task that keeps a node in step with the table service, or with its peers while the service is out.
 *
 * @packageDocumentation
 */
import type { TableService } from "@pimentocleat/services";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { WithdrawalFollower } from "../keys/withdrawalFollower.js";
import type { ConfigurationFollower } from "./configurationFollower.js";
import { readHeads } from "./headTable.js";

/** Why a node takes no requests. */
export type NotReadyReason = "noConfiguration" | "withdrawalsUnknown" | "isolated";

/** Options of {@link StoreFollower}. */
export interface StoreFollowerOptions {
    /** The table service; its calls must end within a bound. */
    readonly tableService: TableService;
    readonly configuration: ConfigurationFollower;
    readonly withdrawals: WithdrawalFollower;
    readonly clock: WaitingClock;
    readonly logger: Logger;
    /** Uniform in [0, 1). */
    readonly random: () => number;
    /** Mean time between two polls, in milliseconds; may grow with the number of nodes. */
    readonly getPollIntervalMs: () => number;
    /** Longest time without store and peers after which the node takes no requests, in milliseconds. */
    readonly isolationLimitMs: number;
}

/** Polls the heads with jitter and tells whether the node may take requests. */
export class StoreFollower {
    private lastContactMs: number | undefined;
    private isStoreReachable = true;
    private wasIsolated = false;
    private waiting = new AbortController();

    /** @param options - What to follow, and the bounds. */
    constructor(private readonly options: StoreFollowerOptions) {}

    /**
     * Polls until told to stop.
     *
     * @param signal - Ends the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.pollOnce();
            await this.waitForPoll(signal);
        }
    }

    /** Ends the wait for the next poll, for instance because a peer has a higher revision. */
    requestPoll(): void {
        this.waiting.abort();
    }

    /** Looks once at the store, or at the peers if the store cannot be reached. Never throws. */
    async pollOnce(): Promise<void> {
        const startedMs = this.options.clock.monotonicMs();
        try {
            await this.followStore(startedMs);
            this.recordStoreState(true);
        } catch (error) {
            this.recordStoreState(false, error);
            await this.followPeers(startedMs);
        }
        this.readNotReadyReason();
    }

    /**
     * Tells whether the node may take requests; checked on every request, since a process that was paused
     * must not act on what it knew before.
     *
     * @returns Why not, or undefined when it may.
     */
    readNotReadyReason(): NotReadyReason | undefined {
        if (this.options.configuration.readCurrent() === undefined) {
            return "noConfiguration";
        }
        if (!this.options.withdrawals.hasLoaded()) {
            return "withdrawalsUnknown";
        }
        const isIsolated = this.isIsolated();
        if (isIsolated !== this.wasIsolated) {
            this.wasIsolated = isIsolated;
            this.options.logger.writeEvent(isIsolated ? "nodeIsolated" : "nodeInTouch");
        }
        return isIsolated ? "isolated" : undefined;
    }

    /** Notes an exchange with a peer that brought this node's withdrawals up to date. */
    recordPeerContact(): void {
        this.recordContactTime(this.options.clock.monotonicMs());
    }

    private async waitForPoll(signal: AbortSignal): Promise<void> {
        const controller = new AbortController();
        this.waiting = controller;
        const stop = (): void => controller.abort();
        signal.addEventListener("abort", stop, { once: true });
        if (!signal.aborted) {
            await this.options.clock.wait(this.computePollDelayMs(), controller.signal);
        }
        signal.removeEventListener("abort", stop);
    }

    private isIsolated(): boolean {
        const { clock, isolationLimitMs } = this.options;
        return (
            this.lastContactMs === undefined || clock.monotonicMs() - this.lastContactMs > isolationLimitMs
        );
    }

    private async followStore(startedMs: number): Promise<void> {
        const { tableService, withdrawals, configuration } = this.options;
        const heads = await readHeads(tableService);
        await withdrawals.followHead(heads.withdrawals.head);
        this.recordContactTime(startedMs);
        await configuration.followHead(heads.configuration.head);
        await withdrawals.recordPending();
    }

    private async followPeers(startedMs: number): Promise<void> {
        try {
            if (await this.options.withdrawals.followPeers()) {
                this.recordContactTime(startedMs);
            }
            await this.options.configuration.followPeers();
        } catch (error) {
            this.options.logger.writeEvent("unexpectedError", { message: String(error) });
        }
    }

    private recordContactTime(atMs: number): void {
        this.lastContactMs = Math.max(atMs, this.lastContactMs ?? atMs);
    }

    private recordStoreState(isReachable: boolean, error?: unknown): void {
        if (isReachable === this.isStoreReachable) {
            return;
        }
        this.isStoreReachable = isReachable;
        if (isReachable) {
            this.options.logger.writeEvent("storeReachable");
        } else {
            this.options.logger.writeEvent("storeUnreachable", { message: String(error) });
        }
    }

    /** Half to one and a half times the mean, so that nodes do not poll in step. */
    private computePollDelayMs(): number {
        return this.options.getPollIntervalMs() * (0.5 + this.options.random());
    }
}
