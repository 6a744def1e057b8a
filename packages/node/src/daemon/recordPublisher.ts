/**
 * Publishes this node's soft state to the peers.
 *
 * @packageDocumentation
 */
import type { PoolSummary } from "@pimentocleat/policy";
import type { WaitingClock } from "@pimentocleat/types";
import type { NodeStatus } from "../operator/operatorBackend.js";
import { encodeJson, poolRecordPrefix, statusRecordKey } from "./peerRecords.js";

const publishIntervalMs = 500;

/** Options of {@link RecordPublisher}. */
export interface RecordPublisherOptions {
    readonly clock: WaitingClock;
    readonly setRecord: (key: string, payload: Uint8Array) => void;
    readonly readStatus: () => NodeStatus;
    readonly listSummaries: () => readonly PoolSummary[];
}

/** Sets the records of the node's state and of its pools. */
export class RecordPublisher {
    private lastStatus = "";

    /** @param options - What to publish and where. */
    constructor(private readonly options: RecordPublisherOptions) {}

    /**
     * Publishes until told to stop.
     *
     * @param signal - Ends the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.spreadOnce();
            await this.options.clock.wait(publishIntervalMs, signal);
        }
    }

    private spreadOnce(): void {
        const status = this.options.readStatus();
        const text = JSON.stringify(status);
        if (text !== this.lastStatus) {
            this.lastStatus = text;
            this.options.setRecord(statusRecordKey, encodeJson(status));
        }
        for (const summary of this.options.listSummaries()) {
            this.options.setRecord(`${poolRecordPrefix}${summary.pool}`, encodeJson(summary));
        }
    }
}
