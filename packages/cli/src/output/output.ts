/**
 * Output of commands, as tables for operators or as JSON for programs.
 *
 * @packageDocumentation
 */
import { createConsola, type ConsolaInstance } from "consola";

/** Writes lines to standard output and standard error; lines are passed without a line break. */
export interface TextSink {
    readonly writeLine: (line: string) => void;
    readonly writeErrorLine: (line: string) => void;
}

/** A table with a heading per column. */
export interface Table {
    readonly columns: readonly string[];
    readonly rows: readonly (readonly string[])[];
}

/** Prints results to standard output and notes to standard error. */
export class Output {
    private readonly consola: ConsolaInstance;

    /**
     * @param sink - Receives the lines.
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
     * @param value - The result as plain data, printed with `--json`.
     * @param lines - The result as text, printed without `--json`.
     */
    printResult(value: unknown, lines: readonly string[]): void {
        if (this.isJson) {
            this.sink.writeLine(JSON.stringify(value, convertBigint));
            return;
        }
        lines.forEach((line) => this.sink.writeLine(line));
    }

    /**
     * Prints a note to standard error; it is omitted with `--json`.
     *
     * @param message - The note.
     */
    printNote(message: string): void {
        if (!this.isJson) {
            this.consola.info(message);
        }
    }

    /**
     * Prints a failure to standard error, or to standard output as JSON with `--json`.
     *
     * @param code - The exit code.
     * @param message - Describes the failure.
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
 * @param table - The columns and rows.
 * @returns A line of column headings, then one line per row.
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
