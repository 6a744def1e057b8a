/**
 * Remembers for a time how the rows of a store were, so that copies of any age can be made.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** One row in its wire format. */
export interface StoredRow {
    readonly Table: string;
    readonly part: string;
    readonly Key: string;
    /** Base64. */
    readonly Value: string;
    readonly Ver: number;
}

/** All rows of a store at one moment. */
export interface RowStoreCopy {
    readonly rows: ReadonlyMap<string, StoredRow>;
    readonly version: number;
}

/** What undoes one change of the rows. */
interface UndoEntry {
    /** Time of the change, in milliseconds. */
    readonly atMs: number;
    /** Version before the change. */
    readonly version: number;
    readonly undo: (rows: Map<string, StoredRow>) => Map<string, StoredRow>;
}

/** Time for which changes are remembered, in milliseconds. */
const retentionMs = 60_000;

/** Keeps what undoes the recent changes, across recoveries of the store. */
export class RowHistory {
    private entries: UndoEntry[] = [];

    /** @param clock - Its monotonic time gives changes their age. */
    constructor(private readonly clock: Clock) {}

    /**
     * Records that a row is about to change.
     *
     * @param rowId - Identifier of the row.
     * @param previous - The row before the change; undefined when it did not exist.
     * @param version - Version of the store before the change.
     */
    recordChange(rowId: string, previous: StoredRow | undefined, version: number): void {
        this.addEntry(version, (rows) => {
            if (previous === undefined) {
                rows.delete(rowId);
            } else {
                rows.set(rowId, previous);
            }
            return rows;
        });
    }

    /**
     * Records that the store is about to go back to a copy.
     *
     * @param previous - All rows before; they are not changed any more.
     * @param version - Version of the store before.
     */
    recordRecovery(previous: ReadonlyMap<string, StoredRow>, version: number): void {
        this.addEntry(version, () => new Map(previous));
    }

    /**
     * Builds a copy of the store as it was.
     *
     * @param current - The store as it is.
     * @param ageMs - Age of the copy, in milliseconds.
     * @returns The copy.
     * @throws Error when the store does not remember so far back.
     */
    buildCopy(current: RowStoreCopy, ageMs: number): RowStoreCopy {
        if (ageMs > retentionMs) {
            throw new Error(`a copy ${String(ageMs)} ms old: at most ${String(retentionMs)} are remembered`);
        }
        const sinceMs = this.clock.monotonicMs() - ageMs;
        let rows = new Map(current.rows);
        let { version } = current;
        for (const entry of this.entries.filter(({ atMs }) => atMs > sinceMs).reverse()) {
            rows = entry.undo(rows);
            version = entry.version;
        }
        return { rows, version };
    }

    private addEntry(version: number, undo: UndoEntry["undo"]): void {
        const atMs = this.clock.monotonicMs();
        this.entries.push({ atMs, version, undo });
        const expired = this.entries.findIndex((entry) => atMs - entry.atMs <= retentionMs);
        this.entries.splice(0, expired);
    }
}
