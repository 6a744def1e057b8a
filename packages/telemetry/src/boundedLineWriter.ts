/**
 * Writes log lines without ever waiting for their reader, within a budget; what is left out is counted.
 *
 * @packageDocumentation
 */

/** Writes bytes and calls back when they are written or failed. */
export type WriteText = (text: string, onDone: () => void) => void;

/** Options of a {@link BoundedLineWriter}. */
export interface BoundedLineWriterOptions {
    readonly writeText: WriteText;
    /** Formats the line that tells how many lines were left out. */
    readonly formatDropped: (count: number) => string;
    /** Bytes that may wait for the reader. */
    readonly maximumBufferedBytes: number;
    /** Lines a second, on the mean and at once. */
    readonly maximumLinesPerSecond: number;
    /** Monotonic time, in milliseconds. */
    readonly readNowMs: () => number;
    /** Called with the lines that were left out. */
    readonly onDropped?: (count: number) => void;
}

const millisecondsPerSecond = 1_000;

/** Keeps lines until the reader took the ones before; a reader that stops costs nothing but lines. */
export class BoundedLineWriter {
    private bufferedLines: string[] = [];
    private bufferedLength = 0;
    private droppedLines = 0;
    private isWriting = false;
    private availableLines: number;
    private lastRefillMs: number;

    /** @param options - Where to write, and the budget. */
    constructor(private readonly options: BoundedLineWriterOptions) {
        this.availableLines = options.maximumLinesPerSecond;
        this.lastRefillMs = options.readNowMs();
    }

    /** @param line - A line without its line break. */
    writeLine(line: string): void {
        if (
            !this.tryTakeLineAllowance() ||
            this.bufferedLength + line.length > this.options.maximumBufferedBytes
        ) {
            this.droppedLines += 1;
            this.options.onDropped?.(1);
            return;
        }
        if (this.droppedLines > 0) {
            this.appendLine(this.options.formatDropped(this.droppedLines));
            this.droppedLines = 0;
        }
        this.appendLine(line);
        this.startWriting();
    }

    /** @returns Lines that were not handed to the reader yet, with their line breaks; for the end of a process. */
    takeBufferedText(): string {
        const text = this.bufferedLines.join("");
        this.bufferedLines = [];
        this.bufferedLength = 0;
        return text;
    }

    private appendLine(line: string): void {
        this.bufferedLines.push(`${line}\n`);
        this.bufferedLength += line.length + 1;
    }

    private tryTakeLineAllowance(): boolean {
        const { maximumLinesPerSecond: linesPerSecond, readNowMs } = this.options;
        const nowMs = readNowMs();
        const earned = ((nowMs - this.lastRefillMs) / millisecondsPerSecond) * linesPerSecond;
        this.availableLines = Math.min(linesPerSecond, this.availableLines + earned);
        this.lastRefillMs = nowMs;
        if (this.availableLines < 1) {
            return false;
        }
        this.availableLines -= 1;
        return true;
    }

    private startWriting(): void {
        if (this.isWriting || this.bufferedLines.length === 0) {
            return;
        }
        this.isWriting = true;
        const text = this.bufferedLines.join("");
        const length = this.bufferedLength;
        this.bufferedLines = [];
        this.options.writeText(text, () => {
            this.bufferedLength -= length;
            this.isWriting = false;
            this.startWriting();
        });
    }
}
