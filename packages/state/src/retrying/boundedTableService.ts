/**
 * A table service with a timeout on each call.
 *
 * @packageDocumentation
 */
import type { CommitResult, Row, ScanOptions, TableService, Transaction } from "@pimentocleat/services";
import type { WaitingClock } from "@pimentocleat/types";
import { runWithTimeout } from "./callTimeout.js";

/** Options of {@link BoundedTableService}. */
export interface BoundedTableServiceOptions {
    readonly tableService: TableService;
    readonly clock: WaitingClock;
    /** Timeout of each call, in milliseconds. */
    readonly callTimeoutMs: number;
}

/**
 * Applies a timeout to each call. Operations that consist of several calls have no overall timeout, so that they still
 * succeed while the service is slow.
 */
export class BoundedTableService implements TableService {
    /** @param options - The table service, the clock and the timeout. */
    constructor(private readonly options: BoundedTableServiceOptions) {}

    readRow(table: string, key: string): Promise<Row | undefined> {
        return this.runCall("read", () => this.options.tableService.readRow(table, key));
    }

    scanRows(table: string, options?: ScanOptions): Promise<readonly Row[]> {
        return this.runCall("scan", () => this.options.tableService.scanRows(table, options));
    }

    commitTransaction(transaction: Transaction): Promise<CommitResult> {
        return this.runCall("commit", () => this.options.tableService.commitTransaction(transaction));
    }

    private runCall<Result>(callName: string, call: () => Promise<Result>): Promise<Result> {
        const { clock, callTimeoutMs: timeoutMs } = this.options;
        return runWithTimeout({ clock, timeoutMs, callName: `table service: ${callName}` }, call);
    }
}
