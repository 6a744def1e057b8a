/**
 * A table service whose calls end within a bound.
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
    /** Bound on each single call, in milliseconds. */
    readonly callTimeoutMs: number;
}

/**
 * Bounds each call. Operations of several calls are not bounded as a whole, so that they still succeed
 * while the service is slow.
 */
export class BoundedTableService implements TableService {
    /** @param options - The service and the bound. */
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
