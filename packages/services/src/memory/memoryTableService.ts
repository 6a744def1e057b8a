/**
 * An in-memory table service: the model that clients are tested against, and the core of the stand-in program.
 *
 * @packageDocumentation
 */
import { PlatformError, PlatformErrorKind } from "../platformError.js";
import type { EraSource } from "../table/eraSource.js";
import { buildVersion, readCounter } from "../table/storeVersion.js";
import type {
    CommitResult,
    JsonValue,
    Row,
    RowCondition,
    ScanOptions,
    TableService,
    Transaction,
} from "../table/tableService.js";

const defaultScanLimit = 1_000;

/**
 * The fault of one call: the call succeeds (`none`), it fails without an effect (`unavailable`), its response is
 * lost after its effect (`lostReply`), or its response is lost and a commit takes effect only in
 * {@link MemoryTableService.applyDelayedCommits} (`delayed`).
 */
export type CallFault = "none" | "unavailable" | "lostReply" | "delayed";

/** Chooses the fault of the next call. */
export type FaultPlan = (call: "read" | "scan" | "commit") => CallFault;

/** All rows at one moment. */
export interface TableCopy {
    readonly tables: ReadonlyMap<string, ReadonlyMap<string, Row>>;
    readonly lastCounter: number;
}

/** Numbers of calls, for checking the budget of store calls. */
export interface TableCallCounts {
    readonly reads: number;
    readonly writes: number;
}

/** A linearizable in-memory table service with fault injection. */
export class MemoryTableService implements TableService, EraSource {
    private tables = new Map<string, Map<string, Row>>();
    private lastVersion = 0;
    private era = 0;
    private reads = 0;
    private writes = 0;
    private chooseFault: FaultPlan = () => "none";
    private delayedCommits: (() => void)[] = [];

    /**
     * Replaces the fault plan.
     *
     * @param plan - Chooses the fault of each call.
     */
    setFaultPlan(plan: FaultPlan): void {
        this.chooseFault = plan;
    }

    /** Applies the delayed commits in order; each checks its conditions only when it is applied. */
    applyDelayedCommits(): void {
        const due = this.delayedCommits;
        this.delayedCommits = [];
        due.forEach((apply) => apply());
    }

    getEra(): number {
        return this.era;
    }

    /**
     * Copies all rows, as a backup does.
     *
     * @returns The rows.
     */
    copyTables(): TableCopy {
        const tables = new Map([...this.tables].map(([name, rows]) => [name, new Map(rows)]));
        return { tables, lastCounter: readCounter(this.lastVersion) };
    }

    /**
     * Comes back from a copy: starts a new era, in which the versions after the copy are given out again.
     *
     * @param copy - The rows; those of now when absent.
     */
    startEra(copy: TableCopy = this.copyTables()): void {
        this.era += 1;
        const convert = (row: Row): Row => ({
            ...row,
            version: buildVersion(this.era, readCounter(row.version)),
        });
        this.tables = new Map(
            [...copy.tables].map(([name, rows]) => [
                name,
                new Map([...rows].map(([key, row]) => [key, convert(row)])),
            ]),
        );
        this.lastVersion = buildVersion(this.era, copy.lastCounter);
    }

    /**
     * Gets the number of calls so far.
     *
     * @returns The numbers of reads, including scans, and of commits.
     */
    getCallCounts(): TableCallCounts {
        return { reads: this.reads, writes: this.writes };
    }

    async readRow(table: string, key: string): Promise<Row | undefined> {
        this.reads += 1;
        return this.runCall("read", () => this.findRow(table, key));
    }

    async scanRows(table: string, options: ScanOptions = {}): Promise<readonly Row[]> {
        this.reads += 1;
        return this.runCall("scan", () => this.selectRows(table, options));
    }

    async commitTransaction(transaction: Transaction): Promise<CommitResult> {
        this.writes += 1;
        return this.runCall("commit", () => this.applyTransaction(transaction));
    }

    private runCall<Result>(call: "read" | "scan" | "commit", action: () => Result): Result {
        const fault = this.chooseFault(call);
        if (fault === "unavailable") {
            throw new PlatformError(PlatformErrorKind.Unavailable, `table service: ${call} unavailable`);
        }
        if (fault === "delayed") {
            this.delayedCommits.push(action);
            throw new PlatformError(
                PlatformErrorKind.Ambiguous,
                `table service: response to ${call} delayed`,
            );
        }
        const result = action();
        if (fault === "lostReply") {
            throw new PlatformError(PlatformErrorKind.Ambiguous, `table service: response to ${call} lost`);
        }
        return result;
    }

    private findRow(table: string, key: string): Row | undefined {
        return this.tables.get(table)?.get(key);
    }

    private selectRows(table: string, options: ScanOptions): readonly Row[] {
        const prefix = options.prefix ?? "";
        const rows = [...(this.tables.get(table)?.values() ?? [])];
        return rows
            .filter((row) => row.key.startsWith(prefix))
            .filter((row) => options.after === undefined || row.key > options.after)
            .sort((left, right) => (left.key < right.key ? -1 : 1))
            .slice(0, options.limit ?? defaultScanLimit);
    }

    private applyTransaction(transaction: Transaction): CommitResult {
        const failed = transaction.conditions.filter((condition) => !this.isMet(condition));
        if (failed.length > 0) {
            return { outcome: "conflict", failed };
        }
        this.lastVersion = buildVersion(this.era, readCounter(this.lastVersion) + 1);
        for (const write of transaction.writes) {
            this.writeRow(write.table, write.key, write.value);
        }
        return { outcome: "committed", version: this.lastVersion };
    }

    private isMet(condition: RowCondition): boolean {
        return (this.findRow(condition.table, condition.key)?.version ?? 0) === condition.version;
    }

    private writeRow(table: string, key: string, value: JsonValue | undefined): void {
        const rows = this.tables.get(table) ?? new Map<string, Row>();
        this.tables.set(table, rows);
        if (value === undefined) {
            rows.delete(key);
            return;
        }
        rows.set(key, { key, value: structuredClone(value), version: this.lastVersion });
    }
}
