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
    buildUnsealedCondition,
    formatMoveKey,
    formatUsageKey,
    parseUsage,
    usageMoveTable,
    usageSealTable,
    usageTable,
} from "./usageTables.js";

/** Options of {@link UsageRowWriter}. */
export interface UsageRowWriterOptions {
    readonly tableService: TableService;
    readonly clock: WaitingClock;
    readonly callTimeoutMs: number;
}

/** Which row. */
export interface UsageRowId {
    readonly windowStartMs: number;
    readonly incarnation: string;
}

/** What became of a write. */
export type UsageWriteResult =
    | { readonly type: "written"; readonly version: number }
    | { readonly type: "changed" }
    | { readonly type: "sealed" };

/** A row to write. */
export interface UsageRowUpdate extends UsageRowId {
    /** The version that the row must have; 0 when it must be absent. */
    readonly version: number;
    /** The cumulative usage. */
    readonly customers: UsageByCustomer;
}

/** What became of several writes in one transaction. */
export type UsageRowsResult =
    | { readonly type: "written"; readonly version: number }
    /** Nothing was written, because of the rows with these places in the list. */
    | { readonly type: "refused"; readonly refused: ReadonlyMap<number, "changed" | "sealed"> };

/** What became of a move. */
export type UsageMoveResult = "moved" | "nothing" | "changed" | "sealed";

/** Writes rows only in open windows, so that the rows of a sealed window never change. */
export class UsageRowWriter {
    /** @param options - The table service and the bound on a call. */
    constructor(private readonly options: UsageRowWriterOptions) {}

    /**
     * Reads a row.
     *
     * @param rowId - Which row.
     * @returns The row.
     */
    readUsage(rowId: UsageRowId): Promise<Row | undefined> {
        const key = formatUsageKey(rowId.windowStartMs, rowId.incarnation);
        return this.runCall("usage read", () => this.options.tableService.readRow(usageTable, key));
    }

    /**
     * Overwrites a row.
     *
     * @param rowId - Which row.
     * @param version - The version that the row must have.
     * @param customers - The cumulative usage.
     * @returns What became of the write; throws a `PlatformError` when that is not known.
     */
    async writeUsage(
        rowId: UsageRowId,
        version: number,
        customers: UsageByCustomer,
    ): Promise<UsageWriteResult> {
        const result = await this.writeRows([{ ...rowId, version, customers }]);
        return result.type === "written" ? result : { type: result.refused.get(0) ?? "changed" };
    }

    /**
     * Overwrites several rows, all or none.
     *
     * @param updates - The rows.
     * @returns What became of the writes; throws a `PlatformError` when that is not known.
     */
    async writeRows(updates: readonly UsageRowUpdate[]): Promise<UsageRowsResult> {
        const keys = updates.map(({ windowStartMs, incarnation }) =>
            formatUsageKey(windowStartMs, incarnation),
        );
        const seals = [...new Set(updates.map(({ windowStartMs }) => windowStartMs))].map(
            buildUnsealedCondition,
        );
        const result = await this.runCall("usage write", () =>
            this.options.tableService.commitTransaction({
                conditions: [
                    ...updates.map(({ version }, index) => ({
                        table: usageTable,
                        key: keys[index]!,
                        version,
                    })),
                    ...seals,
                ],
                writes: updates.map(({ customers }, index) => ({
                    table: usageTable,
                    key: keys[index]!,
                    value: { customers: { ...customers } },
                })),
            }),
        );
        if (result.outcome === "committed") {
            return { type: "written", version: result.version };
        }
        const failed = new Set(result.failed.map(({ table, key }) => `${table} ${key}`));
        const refused = updates.flatMap(({ windowStartMs }, index): [number, "changed" | "sealed"][] => {
            const seal = buildUnsealedCondition(windowStartMs);
            if (failed.has(`${seal.table} ${seal.key}`)) {
                return [[index, "sealed"]];
            }
            return failed.has(`${usageTable} ${keys[index]!}`) ? [[index, "changed"]] : [];
        });
        return { type: "refused", refused: new Map(refused) };
    }

    /**
     * Moves what a sealed row lacks to a later window. Whoever knows the usage may try, the node itself and others:
     * the record of what was moved changes in the same transaction, so that nothing is moved twice.
     *
     * @param rowId - The row, in a sealed window.
     * @param customers - The cumulative usage of the row's window.
     * @param targetStartMs - The later window, in milliseconds since the Unix epoch.
     * @returns Whether usage was moved, nothing was missing, another one moved at the same time, or the later window
     * is sealed too; throws a `PlatformError` when that is not known.
     */
    async moveUsage(
        rowId: UsageRowId,
        customers: UsageByCustomer,
        targetStartMs: number,
    ): Promise<UsageMoveResult> {
        const key = formatUsageKey(rowId.windowStartMs, rowId.incarnation);
        const move = await this.runCall("usage read", () =>
            this.options.tableService.readRow(usageMoveTable, key),
        );
        const moved = parseUsage(move);
        const missing = computeRemainder(customers, addUsage(parseUsage(await this.readUsage(rowId)), moved));
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
                    buildUnsealedCondition(targetStartMs),
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
