/**
 * Reads usage rows and overwrites those of windows that are not sealed.
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

/** Identifies a usage row. */
export interface UsageRowId {
    readonly windowStartMs: number;
    readonly incarnation: string;
}

/** The result of a write: written, refused because the row's version changed, or because its window is sealed. */
export type UsageWriteResult =
    | { readonly type: "written"; readonly version: number }
    | { readonly type: "changed" }
    | { readonly type: "sealed" };

/** A row to write. */
export interface UsageRowUpdate extends UsageRowId {
    /** The version that the row must have; 0 when it must not exist. */
    readonly version: number;
    /** The cumulative usage by customer. */
    readonly customers: UsageByCustomer;
}

/** The result of several writes in one transaction. */
export type UsageRowsResult =
    | { readonly type: "written"; readonly version: number }
    /** Nothing was written; the reason by index of each refused row in the list. */
    | { readonly type: "refused"; readonly refused: ReadonlyMap<number, "changed" | "sealed"> };

/** The result of a move; "nothing" means that no usage was missing, "sealed" that the later window is sealed. */
export type UsageMoveResult = "moved" | "nothing" | "changed" | "sealed";

/** Writes only rows of windows that are not sealed, so that the rows of a sealed window never change. */
export class UsageRowWriter {
    /** @param options - The table service, the clock and the timeout of a call. */
    constructor(private readonly options: UsageRowWriterOptions) {}

    /**
     * Reads a row.
     *
     * @param rowId - The row to read.
     * @returns The row, or undefined if it does not exist; throws a `PlatformError` on failure.
     */
    readUsage(rowId: UsageRowId): Promise<Row | undefined> {
        const key = formatUsageKey(rowId.windowStartMs, rowId.incarnation);
        return this.runCall("usage read", () => this.options.tableService.readRow(usageTable, key));
    }

    /**
     * Overwrites a row.
     *
     * @param rowId - The row to write.
     * @param version - The version that the row must have; 0 when it must not exist.
     * @param customers - The cumulative usage by customer.
     * @returns The result; throws a `PlatformError` if the result is not known.
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
     * Overwrites several rows in one transaction: all or none.
     *
     * @param updates - The rows with their required versions and new usage.
     * @returns The result; throws a `PlatformError` if the result is not known.
     */
    async writeRows(updates: readonly UsageRowUpdate[]): Promise<UsageRowsResult> {
        const keys = updates.map(({ windowStartMs, incarnation }) =>
            formatUsageKey(windowStartMs, incarnation),
        );
        const unsealedConditions = [...new Set(updates.map(({ windowStartMs }) => windowStartMs))].map(
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
                    ...unsealedConditions,
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
            const unsealedCondition = buildUnsealedCondition(windowStartMs);
            if (failed.has(`${unsealedCondition.table} ${unsealedCondition.key}`)) {
                return [[index, "sealed"]];
            }
            return failed.has(`${usageTable} ${keys[index]!}`) ? [[index, "changed"]] : [];
        });
        return { type: "refused", refused: new Map(refused) };
    }

    /**
     * Moves the usage that is missing from a row of a sealed window to a later window. The node that recorded the
     * usage and every node with a copy may do so: the transaction also updates the record of what was moved, so that
     * nothing is moved twice.
     *
     * @param rowId - The row, in a sealed window.
     * @param customers - The cumulative usage by customer in the row's window.
     * @param targetStartMs - Start of the later window, in milliseconds since the Unix epoch.
     * @returns Whether usage was moved, nothing was missing, another node moved usage at the same time, or the later
     * window is sealed too; throws a `PlatformError` if the result is not known.
     */
    async moveUsage(
        rowId: UsageRowId,
        customers: UsageByCustomer,
        targetStartMs: number,
    ): Promise<UsageMoveResult> {
        const key = formatUsageKey(rowId.windowStartMs, rowId.incarnation);
        const moveRecord = await this.runCall("usage read", () =>
            this.options.tableService.readRow(usageMoveTable, key),
        );
        const moved = parseUsage(moveRecord);
        const missing = computeRemainder(customers, addUsage(parseUsage(await this.readUsage(rowId)), moved));
        if (isEmptyUsage(missing)) {
            return "nothing";
        }
        const version = moveRecord?.version ?? 0;
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
