/**
 * Writes log lines without blocking on their reader and within a rate limit; dropped lines are counted.
 *
 * @packageDocumentation
 */

/** Writes a text and calls back when it has been written or the write has failed. */
export type WriteText = (text: string, onDone: () => void) => void;

/** Options of a {@link BoundedLineWriter}. */
export interface BoundedLineWriterOptions {
    readonly writeText: WriteText;
    /** Formats the line that reports the number of dropped lines. */
    readonly formatDropped: (count: number) => string;
    /** Maximum size of the lines that have not been written yet, in bytes; each character counts as one byte. */
    readonly maximumBufferedBytes: number;
    /** Maximum mean rate in lines per second; also the maximum number of lines in a burst. */
    readonly maximumLinesPerSecond: number;
    /** Reads the monotonic time, in milliseconds. */
    readonly readNowMs: () => number;
    /** Called with the number of lines that were just dropped. */
    readonly onDropped?: (count: number) => void;
}

const millisecondsPerSecond = 1_000;

/** Buffers lines while a write is pending; drops lines when the reader stops, so that the process never blocks. */
export class BoundedLineWriter {
    private bufferedLines: string[] = [];
    private bufferedLength = 0;
    private droppedLines = 0;
    private isWriting = false;
    private availableLines: number;
    private lastRefillMs: number;

    /** @param options - The output and its limits. */
    constructor(private readonly options: BoundedLineWriterOptions) {
        this.availableLines = options.maximumLinesPerSecond;
        this.lastRefillMs = options.readNowMs();
    }

    /**
     * Writes a line, or drops it when the rate limit or the buffer limit is reached.
     *
     * @param line - The line without its line break.
     */
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

    /**
     * Takes the lines that have not been passed to `writeText` yet, so that a process can write them synchronously
     * before it exits.
     *
     * @returns The lines, with their line breaks.
     */
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
        const { maximumLinesPerSecond, readNowMs } = this.options;
        const nowMs = readNowMs();
        const refilledLines = ((nowMs - this.lastRefillMs) / millisecondsPerSecond) * maximumLinesPerSecond;
        this.availableLines = Math.min(maximumLinesPerSecond, this.availableLines + refilledLines);
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
