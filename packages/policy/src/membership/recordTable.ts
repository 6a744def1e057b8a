/**
 * Soft state that nodes spread to each other: each record has one owner and a version that only grows.
 * A lost or old record costs efficiency, never a promise.
 *
 * @packageDocumentation
 */
import { RumorQueue } from "./rumorQueue.js";

/** One record of one node. */
export interface NodeRecord {
    readonly owner: string;
    readonly incarnation: number;
    readonly key: string;
    readonly version: number;
    readonly payload: Uint8Array;
}

/** Options of a {@link RecordTable}. */
export interface RecordTableOptions {
    readonly owner: string;
    readonly incarnation: number;
    /** Most records in one message. */
    readonly recordsPerMessage: number;
    /** Called with each record of another node that is newer than the known one. */
    readonly onRecord: (record: NodeRecord) => void;
}

/** The records that one node knows. */
export class RecordTable {
    private readonly records = new Map<string, NodeRecord>();
    private readonly rumors = new RumorQueue<NodeRecord>();

    /** @param options - The owner, bounds and the listener. */
    constructor(private readonly options: RecordTableOptions) {}

    /**
     * Sets an own record and starts to spread it.
     *
     * @param key - The record's key.
     * @param payload - The new content.
     */
    setOwnRecord(key: string, payload: Uint8Array): void {
        const { owner, incarnation } = this.options;
        const version = (this.records.get(formatRecordKey(owner, key))?.version ?? 0) + 1;
        this.keepRecord({ owner, incarnation, key, version, payload });
    }

    /**
     * Merges records received from a peer.
     *
     * @param records - The records.
     */
    mergeRecords(records: readonly NodeRecord[]): void {
        for (const record of records) {
            if (record.owner !== this.options.owner && this.isNewer(record)) {
                this.keepRecord(record);
                this.options.onRecord(record);
            }
        }
    }

    /**
     * Forgets the records of a node that is gone.
     *
     * @param owner - The node.
     */
    removeOwner(owner: string): void {
        for (const [key, record] of this.records) {
            if (record.owner === owner) {
                this.records.delete(key);
            }
        }
    }

    /**
     * Takes the records to piggyback on one message.
     *
     * @param memberCount - Number of members that the records should reach.
     * @returns At most the configured number of records.
     */
    takeRecords(memberCount: number): readonly NodeRecord[] {
        return this.rumors.takeRumors(this.options.recordsPerMessage, memberCount);
    }

    private keepRecord(record: NodeRecord): void {
        const key = formatRecordKey(record.owner, record.key);
        this.records.set(key, record);
        this.rumors.addRumor(key, record);
    }

    private isNewer(record: NodeRecord): boolean {
        const known = this.records.get(formatRecordKey(record.owner, record.key));
        if (known === undefined) {
            return true;
        }
        if (record.incarnation !== known.incarnation) {
            return record.incarnation > known.incarnation;
        }
        return record.version > known.version;
    }
}

function formatRecordKey(owner: string, key: string): string {
    return `${owner}\u0000${key}`;
}
