/**
 * Slopes: how a role's cost grows with a size, measured on this machine with stand-ins.
 *
 * @packageDocumentation
 */

/** One measured point. */
export interface SlopePoint {
    /** The size that varies, such as the number of nodes. */
    readonly size: number;
    /** Figures by name; names carry their unit, such as `bytesPerNodeSecond`. */
    readonly figures: Readonly<Record<string, number>>;
}

/** The result of one measurement. */
export interface SlopeResult {
    readonly name: string;
    readonly sizeName: string;
    readonly seed: number;
    readonly points: readonly SlopePoint[];
}

/** Options of a measurement. */
export interface SlopeOptions {
    readonly seed: number;
    /** How long each point is measured, in milliseconds. */
    readonly durationMs: number;
}

/** Measures one slope. */
export interface Slope {
    readonly name: string;
    readonly description: string;
    /** Runs the measurement; bounded in count and time. */
    measureSlope(options: SlopeOptions): Promise<SlopeResult>;
}

/**
 * Formats a result as a table.
 *
 * @param result - The result.
 * @returns Lines of text.
 */
export function formatSlope(result: SlopeResult): string {
    const names = Object.keys(result.points[0]?.figures ?? {});
    const header = [result.sizeName, ...names];
    const rows = result.points.map((point) => [
        String(point.size),
        ...names.map((name) => formatFigure(point.figures[name] ?? 0)),
    ]);
    const widths = header.map((title, column) =>
        Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
    );
    const lines = [header, ...rows].map((row) =>
        row.map((cell, column) => cell.padStart(widths[column] ?? 0)).join("  "),
    );
    return [`${result.name} (seed ${result.seed})`, ...lines].join("\n");
}

const integerThreshold = 100;

function formatFigure(value: number): string {
    return value >= integerThreshold ? value.toFixed(0) : value.toFixed(3);
}
