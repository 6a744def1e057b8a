/**
 * Publishes this node's soft state to the peers.
 *
 * @packageDocumentation
 */
import type { LimitSummary, PoolSummary } from "@pimentocleat/policy";
import type { WaitingClock } from "@pimentocleat/types";
import type { NodeStatus } from "../operator/operatorBackend.js";
import { encodeJson, limitsRecordKey, poolRecordKeyPrefix, statusRecordKey } from "./peerRecords.js";

/** Interval of checks for summaries that must be sent without delay, in milliseconds. */
const checkIntervalMs = 20;
/**
 * Interval between summaries of a pool with running or waiting requests, and minimum interval between reads of
 * the limit usage, in milliseconds.
 */
const busyIntervalMs = 200;
/**
 * Interval between summaries of an idle pool, in milliseconds; well below the time without summaries after which
 * peers treat a node as removed.
 */
const idleIntervalMs = 500;
/** Interval at which unchanged limit usage is repeated, in milliseconds. */
const limitRepeatIntervalMs = 2_000;

/** Options of {@link RecordPublisher}. */
export interface RecordPublisherOptions {
    readonly clock: WaitingClock;
    /** Sends records to peers immediately. */
    readonly sendRecords: (entries: ReadonlyMap<string, Uint8Array>) => void;
    readonly readStatus: () => NodeStatus;
    /** Takes new summaries of the pools that the filter selects; `isDue` marks those that must not be delayed. */
    readonly takeSummaries: (isSelected: (pool: string, isDue: boolean) => boolean) => readonly PoolSummary[];
    /** Takes the usage of all limits; undefined before the node runs. */
    readonly takeLimitUsage: () => LimitSummary | undefined;
}

/**
 * Publishes the records of the node's state, its pools and its limit usage. Only this class takes summaries,
 * since taking one marks its content as announced.
 */
export class RecordPublisher {
    private lastStatusJson = "";
    private readonly summaries = new Map<string, PoolSummary>();
    private readonly summaryTimesMs = new Map<string, number>();
    private lastUsageJson = "{}";
    private limitsTakenMs = -Infinity;
    private limitsSentMs = -Infinity;

    /** @param options - Sources of the records, and the function that sends them. */
    constructor(private readonly options: RecordPublisherOptions) {}

    /** @returns The last published summaries of this node. */
    listLastSummaries(): readonly PoolSummary[] {
        return [...this.summaries.values()];
    }

    /**
     * Publishes until the signal is aborted.
     *
     * @param signal - Stops the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.sendDueRecords();
            await this.options.clock.wait(checkIntervalMs, signal);
        }
    }

    private sendDueRecords(): void {
        const nowMs = this.options.clock.monotonicMs();
        const entries = new Map<string, Uint8Array>();
        const status = this.options.readStatus();
        const statusJson = JSON.stringify(status);
        if (statusJson !== this.lastStatusJson) {
            this.lastStatusJson = statusJson;
            entries.set(statusRecordKey, encodeJson(status));
        }
        const isSelected = (pool: string, isDue: boolean): boolean => isDue || this.isRepeatDue(pool, nowMs);
        for (const summary of this.options.takeSummaries(isSelected)) {
            this.summaries.set(summary.pool, summary);
            this.summaryTimesMs.set(summary.pool, nowMs);
            entries.set(`${poolRecordKeyPrefix}${summary.pool}`, encodeJson(summary));
        }
        this.addLimitUsage(entries, nowMs);
        if (entries.size > 0) {
            this.options.sendRecords(entries);
        }
    }

    /** Adds limit usage when it changed; unchanged usage is repeated at a lower rate for nodes that joined later. */
    private addLimitUsage(entries: Map<string, Uint8Array>, nowMs: number): void {
        if (nowMs - this.limitsTakenMs < busyIntervalMs) {
            return;
        }
        this.limitsTakenMs = nowMs;
        const summary = this.options.takeLimitUsage();
        const usageJson = JSON.stringify(summary?.usage ?? {});
        const isDue =
            usageJson !== this.lastUsageJson ||
            (usageJson !== "{}" && nowMs - this.limitsSentMs >= limitRepeatIntervalMs);
        if (summary !== undefined && isDue) {
            this.lastUsageJson = usageJson;
            this.limitsSentMs = nowMs;
            entries.set(limitsRecordKey, encodeJson(summary));
        }
    }

    private isRepeatDue(pool: string, nowMs: number): boolean {
        const summary = this.summaries.get(pool);
        const ageMs = nowMs - (this.summaryTimesMs.get(pool) ?? -Infinity);
        return ageMs >= (summary !== undefined && isBusy(summary) ? busyIntervalMs : idleIntervalMs);
    }
}

function isBusy(summary: PoolSummary): boolean {
    const counts = [...Object.values(summary.waiting), ...Object.values(summary.running)];
    return counts.some((count) => count > 0);
}
