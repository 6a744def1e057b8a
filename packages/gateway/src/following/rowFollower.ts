/**
 * Follows one table of the platform's store: reads it whole, then its changes, and whole again whenever
 * changes may have been missed.
 *
 * @packageDocumentation
 */
import type { Row, RowChange, RowFeed } from "@pimentocleat/services";
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";

/** Receives what a follower reads. */
export interface RowReceiver {
    /**
     * Receives the whole table.
     *
     * @param rows - All rows of the table.
     * @param position - Version of the store at which they were read.
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
    /** How long the store may hold a call until there is a change, in milliseconds. */
    readonly longPollMs: number;
    /** Pause after an answer with changes, in milliseconds; gathers changes of tables that change all the time. */
    readonly pauseMs: number;
    /** Pause after a failed call, in milliseconds. */
    readonly retryMs: number;
    /** Whether another node tells this one of changes, so that it need not ask the store; never when absent. */
    readonly isRelayActive?: () => boolean;
}

/** Time between two looks whether another node still tells of changes, in milliseconds. */
const relayCheckIntervalMs = 100;
/** Shortest time between two reads that were asked for, in milliseconds. */
const minimumRequestedReadIntervalMs = 300;

/** Follows a table until it is told to stop. */
export class RowFollower {
    private position: number | undefined;
    private isFailing = false;
    private isReadRequested = false;
    private lastContactMs = Number.NEGATIVE_INFINITY;

    /** @param options - The table and its receiver. */
    constructor(private readonly options: RowFollowerOptions) {}

    /**
     * Follows the table.
     *
     * @param signal - Ends the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, retryMs, random } = this.options;
        while (!signal.aborted) {
            if (await this.waitWhileRelayed(signal)) {
                this.position = undefined;
            }
            const pauseMs = await this.readNext(signal).catch((error: unknown) => {
                this.recordFailure(error, signal);
                return retryMs * (0.5 + random());
            });
            if (pauseMs > 0) {
                await clock.wait(pauseMs, signal);
            }
        }
    }

    /** @returns Monotonic time of the last answer, in milliseconds. */
    readLastContactMs(): number {
        return this.lastContactMs;
    }

    /** Asks for a read of the whole table, also while another node tells of changes. */
    requestRead(): void {
        this.isReadRequested = true;
    }

    /** Returns whether the table has to be read whole, because changes were heard from others meanwhile. */
    private async waitWhileRelayed(signal: AbortSignal): Promise<boolean> {
        const { isRelayActive: isCovered, clock } = this.options;
        if (this.position === undefined || isCovered?.() !== true) {
            return false;
        }
        const readAtMs = this.lastContactMs + minimumRequestedReadIntervalMs;
        while (!signal.aborted && isCovered()) {
            if (this.isReadRequested && clock.monotonicMs() >= readAtMs) {
                break;
            }
            await clock.wait(relayCheckIntervalMs, signal);
        }
        return true;
    }

    /** Returns the pause before the next step. */
    private async readNext(signal: AbortSignal): Promise<number> {
        const { feed, table, receiver, longPollMs: waitMs, pauseMs } = this.options;
        if (this.position === undefined) {
            this.isReadRequested = false;
            const { rows, position } = await feed.readAll(table, signal);
            receiver.setRows(rows, position);
            this.recordContact(position);
            return 0;
        }
        const { changes, position } = await feed.readChanges(table, this.position, waitMs, signal);
        if (changes.length > 0) {
            receiver.applyChanges(changes);
        }
        this.recordContact(position);
        return changes.length > 0 ? pauseMs : 0;
    }

    private recordContact(position: number): void {
        this.position = Math.max(position, this.position ?? 0);
        this.lastContactMs = this.options.clock.monotonicMs();
        if (this.isFailing) {
            this.isFailing = false;
            this.options.metrics.setGauge("store.unreachable", 0, { table: this.options.table });
            this.options.logger.writeEvent("storeReachable", { table: this.options.table });
        }
    }

    /** After any failure the table is read whole: changes may have been missed. */
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
