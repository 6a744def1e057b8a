/**
 * Output of commands: tables for people, JSON for programs.
 *
 * @packageDocumentation
 */
import { createConsola, type ConsolaInstance } from "consola";

/** Where text goes; each without its line break. */
export interface TextSink {
    readonly writeLine: (line: string) => void;
    readonly writeErrorLine: (line: string) => void;
}

/** A table for people. */
export interface Table {
    readonly columns: readonly string[];
    readonly rows: readonly (readonly string[])[];
}

/** Prints results to standard output and notes to standard error. */
export class Output {
    private readonly consola: ConsolaInstance;

    /**
     * @param sink - Where text goes.
     * @param isJson - Whether results are printed as JSON.
     */
    constructor(
        private readonly sink: TextSink,
        private readonly isJson: boolean,
    ) {
        const log = (entry: { type: string; args: unknown[] }): void =>
            sink.writeErrorLine(`${entry.type}: ${entry.args.map(String).join(" ")}`);
        this.consola = createConsola({ reporters: [{ log }] });
    }

    /**
     * Prints a result.
     *
     * @param value - The result as plain data; all that is printed with `--json`.
     * @param lines - The same for people.
     */
    printResult(value: unknown, lines: readonly string[]): void {
        if (this.isJson) {
            this.sink.writeLine(JSON.stringify(value, convertBigint));
            return;
        }
        lines.forEach((line) => this.sink.writeLine(line));
    }

    /** @param message - A note for people; left out with `--json`. */
    printNote(message: string): void {
        if (!this.isJson) {
            this.consola.info(message);
        }
    }

    /**
     * Prints a failure.
     *
     * @param code - The exit code.
     * @param message - What went wrong.
     */
    printFailure(code: number, message: string): void {
        if (this.isJson) {
            this.sink.writeLine(JSON.stringify({ error: { exitCode: code, message } }));
            return;
        }
        this.consola.error(message);
    }
}

function convertBigint(...[, value]: [string, unknown]): unknown {
    return typeof value === "bigint" ? Number(value) : value;
}

/**
 * Formats a table with aligned columns.
 *
 * @param table - Columns and rows.
 * @returns One line for the columns and one a row.
 */
export function formatTable(table: Table): readonly string[] {
    const all = [table.columns, ...table.rows];
    const widths = table.columns.map((column, index) =>
        Math.max(column.length, ...all.map((row) => (row[index] ?? "").length)),
    );
    return all.map((row) =>
        row
            .map((cell, index) => cell.padEnd(widths[index] ?? 0))
            .join("  ")
            .trimEnd(),
    );
}
