/**
 * Recording of usage as the daemon wires it.
 *
 * @packageDocumentation
 */
import type { UsageRecorder } from "@pimentocleat/state";
import type { PeerUsageCopy } from "../peers/peerHandlers.js";

/** The usage side of a node. */
export interface NodeUsage {
    readonly recorder: UsageRecorder;
    /** Writes out what is still in memory; the last step of a stop. */
    flush(): Promise<void>;
    /** Keeps counters of another node. */
    storeCopy(copy: PeerUsageCopy): void;
}

/** Drops usage; for nodes whose customers are not billed. */
export class NoUsage implements NodeUsage {
    readonly recorder: UsageRecorder = { recordUsage: () => {} };

    flush(): Promise<void> {
        return Promise.resolve();
    }

    storeCopy(): void {}
}
