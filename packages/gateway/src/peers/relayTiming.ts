/**
 * Times after which a node whose reader is silent reads the store itself, and pauses between failed reads. They grow
 * with the node's rank as a reader: a few deputies act first and relay to the others, so that a silent reader or a
 * store that fails costs calls of a few nodes, not of all.
 *
 * @packageDocumentation
 */

/** Time after which changes in the store must apply on every node, in milliseconds. */
export interface RelayBounds {
    /** Time to apply a change of the configuration, in milliseconds. */
    readonly configurationApplyMs: number;
    /** Time to stop sending requests to a leaving server, in milliseconds. */
    readonly leavingNoticeMs: number;
    /** Time to stop sending requests to an evacuated data centre, in milliseconds; undefined without evacuations. */
    readonly evacuationMs?: number | undefined;
}

/**
 * Minimum age of relayed data at which a node may read the store itself, in milliseconds; covers the pauses of a
 * reader and a message.
 */
const minimumAgeMs = 1_250;
/** Age at which the first deputy reads the store itself, as a share of the shorter bound. */
const firstDeputyShare = 0.4;
/** Age at which every node reads the store itself, as a share of the shorter bound; a read fits into the rest. */
const lastDeputyShare = 0.6;
/** Rank from which on a node waits the longest time. */
const lastDeputyRank = 8;
/** Time between two polls of a node without a reader, as a share of the age at which it reads. */
const pollShare = 0.9;
/** Pause after a change of the nodes, in milliseconds; batches the changes when all nodes start at once. */
const nodesPauseMs = 2_500;
/** The same pause for the readers and their deputies, in milliseconds: they relay only to the nodes that they know. */
const readerNodesPauseMs = 800;
/** Maximum pause after a change of the nodes, in milliseconds. */
const maximumNodesPauseMs = 20_000;
/** Number of nodes up to which every node reads the table of nodes after the shortest pause. */
const fullRateNodes = 20;
/** Number of readers and deputies in a data centre that read the table of nodes after the shortest pause. */
const nodesReaders = 3;
/** Pause after a failed read of the reader, in milliseconds; each rank adds as much. */
const retryMsPerRank = 200;
/** Maximum pause after a failed read, as a share of the shorter bound. */
const maximumRetryShare = 0.6;

/** Computes the times of one node. */
export class RelayTiming {
    private readonly boundMs: number;

    /** @param bounds - The times within which changes must apply. */
    constructor(bounds: RelayBounds) {
        this.boundMs = Math.min(
            bounds.configurationApplyMs,
            bounds.leavingNoticeMs,
            bounds.evacuationMs ?? Number.POSITIVE_INFINITY,
        );
    }

    /**
     * Computes the age of relayed data from which on a node reads the store itself.
     *
     * @param rank - The node's rank as a reader among the registered nodes of its data centre; 0 is first.
     * @returns The age, in milliseconds.
     */
    computeMaximumAgeMs(rank: number): number {
        const share =
            firstDeputyShare +
            (lastDeputyShare - firstDeputyShare) * Math.min(1, Math.max(0, rank - 1) / lastDeputyRank);
        return Math.max(minimumAgeMs, share * this.boundMs);
    }

    /**
     * Computes the time after a read in which a node without a reader does not poll the store again.
     *
     * @param rank - The node's rank as a reader; the first one polls without a pause.
     * @returns The interval, in milliseconds.
     */
    computePollIntervalMs(rank: number): number {
        return rank === 0 ? 0 : pollShare * this.computeMaximumAgeMs(rank);
    }

    /**
     * Computes the pause between two reads of the table of nodes. The readers and their deputies follow it closely;
     * for the others a late change costs little, and all of them together read it the more often the more they are.
     *
     * @param rank - The node's rank as a reader.
     * @param nodes - The number of registered nodes.
     * @returns The pause, in milliseconds.
     */
    computeNodesPauseMs(rank: number, nodes: number): number {
        if (rank < nodesReaders) {
            return readerNodesPauseMs;
        }
        return Math.min(maximumNodesPauseMs, nodesPauseMs * Math.max(1, nodes / fullRateNodes));
    }

    /**
     * Computes the mean pause after a failed read.
     *
     * @param rank - The node's rank as a reader.
     * @returns The pause, in milliseconds.
     */
    computeRetryMs(rank: number): number {
        const maximumMs = Math.max(retryMsPerRank, maximumRetryShare * this.boundMs);
        return Math.min(maximumMs, retryMsPerRank * (1 + rank));
    }
}
