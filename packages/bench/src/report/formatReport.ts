/**
 * Formats the measures of several policies as a table.
 *
 * @packageDocumentation
 */
import type { RunMeasures } from "./measures.js";

/** Measures of each policy in one experiment. */
export interface Report {
    readonly experiment: string;
    readonly deployment: string;
    readonly seed: number;
    readonly runs: readonly RunMeasures[];
    readonly notes: readonly string[];
}

/**
 * Formats a report as a table, followed by its notes.
 *
 * @param report - The report.
 * @returns Lines of text, with one column per policy.
 */
export function formatReport(report: Report): string {
    const rows: string[][] = [["measure", ...report.runs.map(({ policy }) => policy)]];
    const addRow = (label: string, read: (run: RunMeasures) => string): void => {
        rows.push([label, ...report.runs.map(read)]);
    };
    for (const name of Object.keys(report.runs[0]?.classes ?? {})) {
        addRow(`attained ${name}`, (run) => formatAttainment(run, name));
    }
    for (const name of Object.keys(report.runs[0]?.classes ?? {})) {
        addRow(`least floor share ${name}`, (run) => formatShare(run.classes[name]?.leastFloorShare));
    }
    addRow("goodput", (run) => formatShare(run.goodput));
    addRow("slots in use", (run) => formatShare(run.utilization));
    addRow("wasted tokens", (run) => formatShare(run.wastedTokens));
    addRow("worst customer", (run) => formatShare(run.worstCustomer));
    addRow("cost per 1,000 tokens", (run) => run.costPerThousandTokens.toFixed(5));
    addRow("cheap share", (run) => formatShare(run.cheapShare));
    addRow("overrun, greatest", (run) => run.overrun.toString());
    addRow("overrun, mean", (run) => run.meanOverrun.toFixed(2));
    addRow("summaries a second", (run) => run.summariesPerSecond.toFixed(1));
    addRow("retry share", (run) => formatShare(run.retryShare));
    addRow("tier violations", (run) => run.tierViolations.toString());
    addRow("refusals", (run) => formatCounts(run.refusals));
    addRow("retries", (run) => formatCounts(run.retries));
    if (report.runs.some(({ strandedMs }) => strandedMs !== undefined)) {
        addRow("slots stranded, ms", (run) => run.strandedMs?.toString() ?? "-");
    }
    const title = `${report.experiment}, ${report.deployment}, seed ${report.seed}`;
    return [title, ...formatTable(rows), ...report.notes].join("\n");
}

function formatAttainment(run: RunMeasures, name: string): string {
    const measures = run.classes[name];
    if (measures === undefined || measures.offered === 0) {
        return "-";
    }
    return `${formatShare(measures.attained / measures.offered)} of ${measures.offered}`;
}

function formatShare(share: number | undefined): string {
    return share === undefined ? "-" : share.toFixed(3);
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
    const parts = Object.entries(counts).map(([name, count]) => `${name} ${count}`);
    return parts.length === 0 ? "-" : parts.join(", ");
}

function formatTable(rows: readonly (readonly string[])[]): string[] {
    const widths = [...(rows[0] ?? []).keys()].map((column) =>
        Math.max(...rows.map((row) => row[column]?.length ?? 0)),
    );
    return rows.map((row) =>
        row
            .map((cell, column) => cell.padEnd(widths[column] ?? 0))
            .join("  ")
            .trimEnd(),
    );
}
