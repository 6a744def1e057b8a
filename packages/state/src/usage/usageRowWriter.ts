/**
 * Reads and conditionally overwrites usage rows of windows that are not sealed.
 *
 * @packageDocumentation
 */
import type { Row, TableService } from "@pimentocleat/services";
import type { UsageByCustomer } from "@pimentocleat/policy";
import type { WaitingClock } from "@pimentocleat/types";
import { runWithTimeout } from "../retrying/callTimeout.js";
import { buildOpenCondition, formatUsageKey, usageSealTable, usageTable } from "./usageRecord.js";

/** Options of {@link UsageRowWriter}. */
export interface UsageRowWriterOptions {
    readonly tableService: TableService;
    readonly clock: WaitingClock;
    readonly callTimeoutMs: number;
}

/** Which row. */
export interface UsageRowName {
    readonly windowStartMs: number;
    readonly incarnation: string;
}

/** What became of a write. */
export type UsageWriteResult =
    | { readonly type: "written"; readonly version: number }
    | { readonly type: "changed" }
    | { readonly type: "sealed" };

/** Writes rows only in open windows, so that the rows of a sealed window never change. */
export class UsageRowWriter {
    /** @param options - The table service and the bound on a call. */
    constructor(private readonly options: UsageRowWriterOptions) {}

    /**
     * Reads a row.
     *
     * @param name - Which row.
     * @returns The row.
     */
    readUsage(name: UsageRowName): Promise<Row | undefined> {
        const key = formatUsageKey(name.windowStartMs, name.incarnation);
        return this.runCall("usage read", () => this.options.tableService.readRow(usageTable, key));
    }

    /**
     * Overwrites a row.
     *
     * @param name - Which row.
     * @param version - The version that the row must have.
     * @param customers - The cumulative usage.
     * @returns What became of the write; throws a `PlatformError` when that is not known.
     */
    async writeUsage(
        name: UsageRowName,
        version: number,
        customers: UsageByCustomer,
    ): Promise<UsageWriteResult> {
        const row = { table: usageTable, key: formatUsageKey(name.windowStartMs, name.incarnation) };
        const value = { customers: { ...customers } };
        const result = await this.runCall("usage write", () =>
            this.options.tableService.commitTransaction({
                conditions: [{ ...row, version }, buildOpenCondition(name.windowStartMs)],
                writes: [{ ...row, value }],
            }),
        );
        if (result.outcome === "committed") {
            return { type: "written", version: result.version };
        }
        const isSealed = result.failed.some((condition) => condition.table === usageSealTable);
        return { type: isSealed ? "sealed" : "changed" };
    }

    private runCall<Result>(callName: string, call: () => Promise<Result>): Promise<Result> {
        const { clock, callTimeoutMs: timeoutMs } = this.options;
        return runWithTimeout({ clock, timeoutMs, callName }, call);
    }
}
