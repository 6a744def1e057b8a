/**
 * The task that keeps a node up to date with the table service, or with its peers while the service is unavailable.
 *
 * @packageDocumentation
 */
import type { TableService } from "@pimentocleat/services";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { WithdrawalFollower } from "../keys/withdrawalFollower.js";
import type { ConfigurationFollower } from "./configurationFollower.js";
import { readHeads } from "./headTable.js";

/** Why a node accepts no requests. */
export type NotReadyReason = "noConfiguration" | "withdrawalsUnknown" | "isolated";

/** Options of {@link StoreFollower}. */
export interface StoreFollowerOptions {
    /** The table service; its calls must have a timeout. */
    readonly tableService: TableService;
    readonly configuration: ConfigurationFollower;
    readonly withdrawals: WithdrawalFollower;
    readonly clock: WaitingClock;
    readonly logger: Logger;
    /** Returns a uniformly distributed number in [0, 1). */
    readonly random: () => number;
    /** Returns the mean time between two polls, in milliseconds; it may grow with the number of nodes. */
    readonly getPollIntervalMs: () => number;
    /** Time without contact to the store or a peer after which the node accepts no requests, in milliseconds. */
    readonly isolationLimitMs: number;
}

/** Polls the heads with jitter and checks whether the node may accept requests. */
export class StoreFollower {
    /** Time at which the withdrawals were last known to be up to date, in monotonic milliseconds. */
    private lastContactMs: number | undefined;
    private isStoreReachable = true;
    private wasIsolated = false;
    private pollWaitController = new AbortController();

    /** @param options - The sources to follow and the time limits. */
    constructor(private readonly options: StoreFollowerOptions) {}

    /**
     * Polls until the signal is aborted.
     *
     * @param signal - Stops the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.pollOnce();
            await this.waitForPoll(signal);
        }
    }

    /** Ends the wait before the next poll, for instance because a peer has a higher revision. */
    requestPoll(): void {
        this.pollWaitController.abort();
    }

    /** Polls the store once, or the peers if the store is unreachable. Never throws. */
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
     * Checks whether the node may accept requests. Every request needs this check, because a process that was
     * paused must not act on outdated state.
     *
     * @returns Why the node accepts no requests, or undefined if it accepts them.
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

    /** Records that an exchange with a peer just brought this node's withdrawals up to date. */
    recordPeerContact(): void {
        this.recordContactTime(this.options.clock.monotonicMs());
    }

    private async waitForPoll(signal: AbortSignal): Promise<void> {
        const controller = new AbortController();
        this.pollWaitController = controller;
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

    /** Chooses 0.5 to 1.5 times the mean interval, so that the nodes' polls do not synchronize. */
    private computePollDelayMs(): number {
        return this.options.getPollIntervalMs() * (0.5 + this.options.random());
    }
}
