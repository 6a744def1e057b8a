/**
 * Follows one table of the platform's store: reads the complete table, then its changes, and the complete table
 * again whenever changes may have been missed.
 *
 * @packageDocumentation
 */
import type { Row, RowChange, RowFeed } from "@pimentocleat/services";
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";

/** Receives the rows and changes that a follower reads. */
export interface RowReceiver {
    /**
     * Receives the complete table.
     *
     * @param rows - All rows of the table.
     * @param position - Store version at which they were read.
     */
    setRows(rows: readonly Row[], position: number): void;
    /** @param changes - Changed and deleted rows, in order. */
    applyChanges(changes: readonly RowChange[]): void;
}

/** Options of a {@link RowFollower}. */
export interface RowFollowerOptions {
    readonly feed: RowFeed;
    readonly table: string;
    readonly receiver: RowReceiver;
    readonly clock: WaitingClock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly random: () => number;
    /** Maximum time for which the store holds a long poll until there is a change, in milliseconds. */
    readonly longPollMs: number;
    /** Computes the pause after a response with changes, in milliseconds; batches changes of tables that change often. */
    readonly computePauseMs: () => number;
    /** Delay before the first read, in milliseconds. */
    readonly startDelayMs?: number;
    /**
     * Computes the time for which a response counts as recent, so that this node need not poll the store, in
     * milliseconds; absent means 0.
     */
    readonly computePollIntervalMs?: () => number;
    /** Computes the mean delay after a failed call, in milliseconds; the actual delay is random around it. */
    readonly computeRetryMs: () => number;
    /** Whether another node relays changes to this one, so that it need not poll the store; absent means never. */
    readonly isRelayActive?: () => boolean;
}

/** Interval between two checks whether another node still relays changes, in milliseconds. */
const relayCheckIntervalMs = 250;
/** Minimum time between the last response of the store and a requested read, in milliseconds. */
const minimumRequestedReadIntervalMs = 300;

/**
 * Mean delay before the first failed read of a table is retried, in milliseconds; it doubles with each failure up to
 * the usual delay. Without any data a node cannot serve, and the usual delay of a node that does not know its rank yet
 * is the longest one.
 */
const firstRetryMs = 200;

/** Follows a table until its task is stopped. */
export class RowFollower {
    private position: number | undefined;
    private version = 0;
    private isFailing = false;
    private isReadRequested = false;
    /** Ends the wait for a request to read the table. */
    private wakeUp: (() => void) | undefined;
    private lastContactMs = Number.NEGATIVE_INFINITY;
    /** Failed reads before the first response. */
    private firstFailures = 0;

    /** @param options - The table and its receiver. */
    constructor(private readonly options: RowFollowerOptions) {}

    /**
     * Follows the table.
     *
     * @param signal - Stops the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, random, startDelayMs } = this.options;
        // Even a wait of 0 ms would delay the first read until the node's other synchronous start-up work is done.
        if (startDelayMs !== undefined) {
            await clock.wait(startDelayMs, signal);
        }
        while (!signal.aborted) {
            if (await this.waitWhileRelayed(signal)) {
                this.position = undefined;
            }
            const pauseMs = await this.readNext(signal).catch((error: unknown) => {
                this.recordFailure(error, signal);
                return this.computeDelayMs() * (0.5 + random());
            });
            if (pauseMs > 0) {
                await clock.wait(pauseMs, signal);
            }
        }
    }

    /** @returns The monotonic time of the store's last response, in milliseconds. */
    readLastContactMs(): number {
        return this.lastContactMs;
    }

    /** @returns The store version of the last response; 0 before the first one. */
    readVersion(): number {
        return this.version;
    }

    /** Requests a read of the complete table, even while another node relays changes. */
    requestRead(): void {
        this.isReadRequested = true;
        this.wakeUp?.();
    }

    /**
     * Waits while this node need not poll the store. Returns whether the complete table must be read, because changes
     * were relayed in the meantime.
     */
    private async waitWhileRelayed(signal: AbortSignal): Promise<boolean> {
        const { isRelayActive, clock } = this.options;
        let wasRelayed = false;
        while (!signal.aborted && this.position !== undefined) {
            const nowMs = clock.monotonicMs();
            const isRelayed = isRelayActive?.() === true;
            wasRelayed ||= isRelayed;
            const pollAtMs = this.lastContactMs + (this.options.computePollIntervalMs?.() ?? 0);
            const requestedAtMs = this.lastContactMs + minimumRequestedReadIntervalMs;
            const readAtMs = this.isReadRequested ? requestedAtMs : pollAtMs;
            if (nowMs >= readAtMs && (this.isReadRequested || !isRelayed)) {
                break;
            }
            const pauseMs = readAtMs > nowMs ? readAtMs - nowMs : relayCheckIntervalMs;
            await this.waitUntilRequested(Math.min(pauseMs, relayCheckIntervalMs), signal);
        }
        return wasRelayed;
    }

    /** Waits, but not beyond the moment at which a read is requested. */
    private async waitUntilRequested(pauseMs: number, signal: AbortSignal): Promise<void> {
        const requested = new Promise<void>((resolve) => {
            this.wakeUp = resolve;
        });
        await Promise.race([this.options.clock.wait(pauseMs, signal), requested]);
        this.wakeUp = undefined;
    }

    /** Returns the pause before the next read, in milliseconds. */
    private async readNext(signal: AbortSignal): Promise<number> {
        const { feed, table, receiver, longPollMs, computePauseMs } = this.options;
        this.isReadRequested = false;
        if (this.position === undefined) {
            const { rows, position } = await feed.readAll(table, signal);
            receiver.setRows(rows, position);
            this.recordContact(position);
            return 0;
        }
        const { changes, position } = await feed.readChanges(table, this.position, longPollMs, signal);
        if (changes.length > 0) {
            receiver.applyChanges(changes);
        }
        this.recordContact(position);
        return changes.length > 0 ? computePauseMs() : 0;
    }

    /** Returns the mean delay after a failed read, in milliseconds. */
    private computeDelayMs(): number {
        const usualMs = this.options.computeRetryMs();
        if (this.lastContactMs > Number.NEGATIVE_INFINITY) {
            return usualMs;
        }
        const delayMs = Math.min(usualMs, firstRetryMs * 2 ** this.firstFailures);
        this.firstFailures += 1;
        return delayMs;
    }

    private recordContact(position: number): void {
        this.position = Math.max(position, this.position ?? 0);
        this.version = Math.max(position, this.version);
        this.lastContactMs = this.options.clock.monotonicMs();
        if (this.isFailing) {
            this.isFailing = false;
            this.options.metrics.setGauge("store.unreachable", 0, { table: this.options.table });
            this.options.logger.writeEvent("storeReachable", { table: this.options.table });
        }
    }

    /** Forces a read of the complete table after any failure, because changes may have been missed. */
    private recordFailure(error: unknown, signal: AbortSignal): void {
        this.position = undefined;
        if (!this.isFailing && !signal.aborted) {
            this.isFailing = true;
            const { table, logger, metrics } = this.options;
            metrics.setGauge("store.unreachable", 1, { table });
            logger.writeEvent("storeUnreachable", { table, reason: String(error) });
        }
    }
}
