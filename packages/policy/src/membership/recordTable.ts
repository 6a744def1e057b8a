/**
 * Holds soft state that nodes spread to each other. Each record has one owner and a version that only
 * increases. A lost or stale record costs efficiency but breaks no guarantee.
 *
 * @packageDocumentation
 */
import { RumorQueue } from "./rumorQueue.js";

/** A record that its owner spreads to the other nodes. */
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
    /** Maximum number of records in one message. */
    readonly recordsPerMessage: number;
    /** Called with each record of another node that is newer than the known one. */
    readonly onRecord: (record: NodeRecord) => void;
    /** Called before the first record of a newer incarnation of a node; the node's earlier records are void. */
    readonly onRestart: (owner: string) => void;
}

/** Holds the records that one node knows. */
export class RecordTable {
    private readonly records = new Map<string, NodeRecord>();
    private readonly rumors = new RumorQueue<NodeRecord>();
    /** Newest known incarnation of each owner. */
    private readonly incarnations = new Map<string, number>();

    /** @param options - Owner, message limit and callbacks. */
    constructor(private readonly options: RecordTableOptions) {}

    /**
     * Sets an own record and queues it to be spread.
     *
     * @param key - The record's key.
     * @param payload - The new content.
     * @returns The record with its new version.
     */
    setOwnRecord(key: string, payload: Uint8Array): NodeRecord {
        const { owner, incarnation } = this.options;
        const version = (this.records.get(formatRecordKey(owner, key))?.version ?? 0) + 1;
        const record = { owner, incarnation, key, version, payload };
        this.storeRecord(record);
        return record;
    }

    /**
     * Merges records received from a peer.
     *
     * @param records - The records.
     */
    mergeRecords(records: readonly NodeRecord[]): void {
        for (const record of records) {
            if (record.owner !== this.options.owner && this.isNewer(record)) {
                this.recordIncarnation(record);
                this.storeRecord(record);
                this.options.onRecord(record);
            }
        }
    }

    /**
     * Removes the records of a node that was removed or restarted.
     *
     * @param owner - The node.
     */
    removeOwner(owner: string): void {
        this.incarnations.delete(owner);
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

    private storeRecord(record: NodeRecord): void {
        const key = formatRecordKey(record.owner, record.key);
        this.records.set(key, record);
        this.rumors.addRumor(key, record);
    }

    private recordIncarnation(record: NodeRecord): void {
        const known = this.incarnations.get(record.owner);
        if (known !== undefined && record.incarnation > known) {
            this.removeOwner(record.owner);
            this.options.onRestart(record.owner);
        }
        this.incarnations.set(record.owner, record.incarnation);
    }

    private isNewer(record: NodeRecord): boolean {
        if (record.incarnation < (this.incarnations.get(record.owner) ?? -Infinity)) {
            return false;
        }
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
