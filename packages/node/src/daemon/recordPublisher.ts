/**
 * Publishes this node's soft state to the peers.
 *
 * @packageDocumentation
 */
import type { LimitSummary, PoolSummary } from "@pimentocleat/policy";
import type { WaitingClock } from "@pimentocleat/types";
import type { NodeStatus } from "../operator/operatorBackend.js";
import { encodeJson, limitsRecordKey, poolRecordPrefix, statusRecordKey } from "./peerRecords.js";

/** Time between two looks for a summary that must not wait, in milliseconds. */
const lookIntervalMs = 20;
/** Time between two summaries of a pool in use, in milliseconds. */
const busyIntervalMs = 200;
/** Time between two summaries of an idle pool, in milliseconds; well under the silence that makes a node count as gone. */
const idleIntervalMs = 500;
/** Time between two repeats of limit usage that did not change, in milliseconds. */
const limitRepeatMs = 2_000;

/** Options of {@link RecordPublisher}. */
export interface RecordPublisherOptions {
    readonly clock: WaitingClock;
    /** Tells records to peers at once. */
    readonly spreadRecords: (entries: ReadonlyMap<string, Uint8Array>) => void;
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
    private lastStatus = "";
    private readonly summaries = new Map<string, PoolSummary>();
    private readonly summarizedMs = new Map<string, number>();
    private lastUsage = "{}";
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
            this.spreadOnce();
            await this.options.clock.wait(lookIntervalMs, signal);
        }
    }

    private spreadOnce(): void {
        const nowMs = this.options.clock.monotonicMs();
        const entries = new Map<string, Uint8Array>();
        const status = this.options.readStatus();
        const text = JSON.stringify(status);
        if (text !== this.lastStatus) {
            this.lastStatus = text;
            entries.set(statusRecordKey, encodeJson(status));
        }
        const isWanted = (pool: string, isDue: boolean): boolean => isDue || this.isOld(pool, nowMs);
        for (const summary of this.options.takeSummaries(isWanted)) {
            this.summaries.set(summary.pool, summary);
            this.summarizedMs.set(summary.pool, nowMs);
            entries.set(`${poolRecordPrefix}${summary.pool}`, encodeJson(summary));
        }
        this.addLimitUsage(entries, nowMs);
        if (entries.size > 0) {
            this.options.spreadRecords(entries);
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
            usage !== this.lastUsage || (usage !== "{}" && nowMs - this.limitsSentMs >= limitRepeatMs);
        if (summary !== undefined && isDue) {
            this.lastUsage = usage;
            this.limitsSentMs = nowMs;
            entries.set(limitsRecordKey, encodeJson(summary));
        }
    }

    private isOld(pool: string, nowMs: number): boolean {
        const summary = this.summaries.get(pool);
        const ageMs = nowMs - (this.summarizedMs.get(pool) ?? -Infinity);
        return ageMs >= (summary !== undefined && isBusy(summary) ? busyIntervalMs : idleIntervalMs);
    }
}

function isBusy(summary: PoolSummary): boolean {
    const counts = [...Object.values(summary.waiting), ...Object.values(summary.running)];
    return counts.some((count) => count > 0);
}
