/**
 * Reads a whole table of the platform's store on demand, beside the follower of the table.
 *
 * @packageDocumentation
 */
import type { RowFeed } from "@pimentocleat/services";
import type { Logger } from "@pimentocleat/telemetry";
import type { RowReceiver } from "./rowFollower.js";

/** Options of a {@link TableReader}. */
export interface TableReaderOptions {
    readonly feed: RowFeed;
    readonly table: string;
    readonly receiver: RowReceiver;
    readonly logger: Logger;
}

/** Reads a table; calls that wait at the same time share a read. */
export class TableReader {
    private current: Promise<boolean> | undefined;
    private next: Promise<boolean> | undefined;

    /** @param options - The table and its receiver. */
    constructor(private readonly options: TableReaderOptions) {}

    /**
     * Reads the table, by a call of the store that begins after this one.
     *
     * @returns Whether that succeeded.
     */
    readTable(): Promise<boolean> {
        if (this.current === undefined) {
            this.current = this.readOnce();
            return this.current;
        }
        this.next ??= this.current.then(() => {
            this.next = undefined;
            this.current = this.readOnce();
            return this.current;
        });
        return this.next;
    }

    private async readOnce(): Promise<boolean> {
        const { feed, table, receiver, logger } = this.options;
        try {
            const { rows, position } = await feed.readAll(table);
            receiver.setRows(rows, position);
            return true;
        } catch (error) {
            logger.writeEvent("storeUnreachable", { table, reason: String(error) });
            return false;
        } finally {
            this.current = undefined;
        }
    }
}
