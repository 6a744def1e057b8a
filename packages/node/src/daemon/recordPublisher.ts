/**
 * Publishes this node's soft state to the peers.
 *
 * @packageDocumentation
 */
import type { LimitSummary, PoolSummary } from "@pimentocleat/policy";
import type { WaitingClock } from "@pimentocleat/types";
import type { NodeStatus } from "../operator/operatorBackend.js";
import { encodeJson, limitsRecordKey, poolRecordKeyPrefix, statusRecordKey } from "./peerRecords.js";

/** Time between two looks for a summary that must not wait, in milliseconds. */
const checkIntervalMs = 20;
/** Time between two summaries of a pool in use, in milliseconds. */
const busyIntervalMs = 200;
/** Time between two summaries of an idle pool, in milliseconds; well under the silence that makes a node count as gone. */
const idleIntervalMs = 500;
/** Time between two repeats of limit usage that did not change, in milliseconds. */
const limitRepeatIntervalMs = 2_000;

/** Options of {@link RecordPublisher}. */
export interface RecordPublisherOptions {
    readonly clock: WaitingClock;
    /** Tells records to peers at once. */
    readonly sendRecords: (entries: ReadonlyMap<string, Uint8Array>) => void;
    readonly readStatus: () => NodeStatus;
    /** Takes new summaries of the pools that the filter chooses. */
    readonly takeSummaries: (isWanted: (pool: string, isDue: boolean) => boolean) => readonly PoolSummary[];
    /** Takes the usage of all limits; undefined before the node runs. */
    readonly takeLimitUsage: () => LimitSummary | undefined;
}

/**
 * Sets the records of the node's state and of its pools. It alone takes summaries, since taking one
 * marks its content as told.
 */
export class RecordPublisher {
    private lastStatusJson = "";
    private readonly summaries = new Map<string, PoolSummary>();
    private readonly summaryTimesMs = new Map<string, number>();
    private lastUsageJson = "{}";
    private limitsTakenMs = -Infinity;
    private limitsSentMs = -Infinity;

    /** @param options - What to publish and where. */
    constructor(private readonly options: RecordPublisherOptions) {}

    /** @returns The last published summaries of this node. */
    listLastSummaries(): readonly PoolSummary[] {
        return [...this.summaries.values()];
    }

    /**
     * Publishes until told to stop.
     *
     * @param signal - Ends the task.
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
        const text = JSON.stringify(status);
        if (text !== this.lastStatusJson) {
            this.lastStatusJson = text;
            entries.set(statusRecordKey, encodeJson(status));
        }
        const isWanted = (pool: string, isDue: boolean): boolean => isDue || this.isRepeatDue(pool, nowMs);
        for (const summary of this.options.takeSummaries(isWanted)) {
            this.summaries.set(summary.pool, summary);
            this.summaryTimesMs.set(summary.pool, nowMs);
            entries.set(`${poolRecordKeyPrefix}${summary.pool}`, encodeJson(summary));
        }
        this.addLimitUsage(entries, nowMs);
        if (entries.size > 0) {
            this.options.sendRecords(entries);
        }
    }

    /** Usage goes out when it changed, and seldom when not, for nodes that came later. */
    private addLimitUsage(entries: Map<string, Uint8Array>, nowMs: number): void {
        if (nowMs - this.limitsTakenMs < busyIntervalMs) {
            return;
        }
        this.limitsTakenMs = nowMs;
        const summary = this.options.takeLimitUsage();
        const usage = JSON.stringify(summary?.usage ?? {});
        const isDue =
            usage !== this.lastUsageJson ||
            (usage !== "{}" && nowMs - this.limitsSentMs >= limitRepeatIntervalMs);
        if (summary !== undefined && isDue) {
            this.lastUsageJson = usage;
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
