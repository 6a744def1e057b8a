/**
 * The interface between a daemon and its usage accounting.
 *
 * @packageDocumentation
 */
import type { UsageRecorder } from "@pimentocleat/state";
import type { PeerUsageCopy } from "../peers/peerHandlers.js";

/** Usage accounting of a node. */
export interface NodeUsage {
    readonly recorder: UsageRecorder;
    /** Writes the usage that is still in memory; called as the last step of a graceful stop. */
    flush(): Promise<void>;
    /** Stores a copy of another node's counters. */
    storeCopy(copy: PeerUsageCopy): void;
}

/** Discards usage; for nodes whose customers are not billed. */
export class NoUsage implements NodeUsage {
    readonly recorder: UsageRecorder = { recordUsage: () => {} };

    flush(): Promise<void> {
        return Promise.resolve();
    }

    storeCopy(): void {}
}
