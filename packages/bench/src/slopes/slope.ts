/**
 * Slopes: measurements of how the cost of a component grows with a size, on the local machine with stand-ins.
 *
 * @packageDocumentation
 */

/** Figures measured at one size. */
export interface SlopePoint {
    /** The size that varies, such as the number of nodes. */
    readonly size: number;
    /** Figures by name; each name includes its unit, such as `bytesPerNodeSecond`. */
    readonly figures: Readonly<Record<string, number>>;
}

/** Result of one measurement. */
export interface SlopeResult {
    readonly name: string;
    /** What the size counts, such as `nodes`; heading of its column. */
    readonly sizeName: string;
    readonly seed: number;
    readonly points: readonly SlopePoint[];
}

/** Options of a measurement. */
export interface SlopeOptions {
    readonly seed: number;
    /** Duration of the measurement at each size, in milliseconds. */
    readonly durationMs: number;
}

/** Measures how one cost grows with a size. */
export interface Slope {
    readonly name: string;
    readonly description: string;
    /** Measures a fixed number of sizes, in bounded time. */
    measureSlope(options: SlopeOptions): Promise<SlopeResult>;
}

/**
 * Formats a result as a text table with one row per size.
 *
 * @param result - Result of a measurement.
 * @returns Heading with name and seed, followed by the table.
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

/** Figures from this value on are printed without decimals. */
const integerThreshold = 100;

function formatFigure(value: number): string {
    return value >= integerThreshold ? value.toFixed(0) : value.toFixed(3);
}
