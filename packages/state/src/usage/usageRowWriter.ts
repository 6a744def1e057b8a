/**
 * Reads and conditionally overwrites usage rows of windows that are not sealed.
 *
 * @packageDocumentation
 */
import type { Row, TableService } from "@pimentocleat/services";
import { addUsage, computeRemainder, isEmptyUsage, type UsageByCustomer } from "@pimentocleat/policy";
import type { WaitingClock } from "@pimentocleat/types";
import { runWithTimeout } from "../retrying/callTimeout.js";
import {
    buildOpenCondition,
    formatMoveKey,
    formatUsageKey,
    parseUsage,
    usageMoveTable,
    usageSealTable,
    usageTable,
} from "./usageRecord.js";

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

/** What became of a move. */
export type UsageMoveResult = "moved" | "nothing" | "changed" | "sealed";

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

    /**
     * Moves what a sealed row lacks to a later window. Whoever knows the usage may try, the node itself and others:
     * the record of what was moved changes in the same transaction, so that nothing is moved twice.
     *
     * @param name - The row, in a sealed window.
     * @param customers - The cumulative usage of the row's window.
     * @param targetStartMs - The later window, in milliseconds since the Unix epoch.
     * @returns Whether usage was moved, nothing was missing, another one moved at the same time, or the later window
     * is sealed too; throws a `PlatformError` when that is not known.
     */
    async moveUsage(
        name: UsageRowName,
        customers: UsageByCustomer,
        targetStartMs: number,
    ): Promise<UsageMoveResult> {
        const key = formatUsageKey(name.windowStartMs, name.incarnation);
        const move = await this.runCall("usage read", () =>
            this.options.tableService.readRow(usageMoveTable, key),
        );
        const moved = parseUsage(move);
        const missing = computeRemainder(customers, addUsage(parseUsage(await this.readUsage(name)), moved));
        if (isEmptyUsage(missing)) {
            return "nothing";
        }
        const version = move?.version ?? 0;
        const moveRow = { table: usageMoveTable, key };
        const target = { table: usageTable, key: formatMoveKey(targetStartMs, key, version) };
        const result = await this.runCall("usage move", () =>
            this.options.tableService.commitTransaction({
                conditions: [
                    { ...moveRow, version },
                    { ...target, version: 0 },
                    buildOpenCondition(targetStartMs),
                ],
                writes: [
                    { ...moveRow, value: { customers: addUsage(moved, missing) } },
                    { ...target, value: { customers: missing } },
                ],
            }),
        );
        if (result.outcome === "committed") {
            return "moved";
        }
        return result.failed.some(({ table }) => table === usageSealTable) ? "sealed" : "changed";
    }

    private runCall<Result>(callName: string, call: () => Promise<Result>): Promise<Result> {
        const { clock, callTimeoutMs: timeoutMs } = this.options;
        return runWithTimeout({ clock, timeoutMs, callName }, call);
    }
}
