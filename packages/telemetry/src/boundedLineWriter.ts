/**
 * Writes log lines without ever waiting for their reader, within a budget; what is left out is counted.
 *
 * @packageDocumentation
 */

/** Writes bytes and calls back when they are written or failed. */
export type WriteBytes = (text: string, onDone: () => void) => void;

/** Options of a {@link BoundedLineWriter}. */
export interface BoundedLineWriterOptions {
    readonly writeBytes: WriteBytes;
    /** Formats the line that tells how many lines were left out. */
    readonly formatDropped: (count: number) => string;
    /** Bytes that may wait for the reader. */
    readonly waitingBytes: number;
    /** Lines a second, on the mean and at once. */
    readonly linesPerSecond: number;
    /** Monotonic time, in milliseconds. */
    readonly readNowMs: () => number;
    /** Called with the lines that were left out. */
    readonly onDropped?: (count: number) => void;
}

const millisecondsPerSecond = 1_000;

/** Keeps lines until the reader took the ones before; a reader that stops costs nothing but lines. */
export class BoundedLineWriter {
    private waiting: string[] = [];
    private waitingLength = 0;
    private dropped = 0;
    private isWriting = false;
    private credit: number;
    private creditMs: number;

    /** @param options - Where to write, and the budget. */
    constructor(private readonly options: BoundedLineWriterOptions) {
        this.credit = options.linesPerSecond;
        this.creditMs = options.readNowMs();
    }

    /** @param line - A line without its line break. */
    writeLine(line: string): void {
        if (!this.takeCredit() || this.waitingLength + line.length > this.options.waitingBytes) {
            this.dropped += 1;
            this.options.onDropped?.(1);
            return;
        }
        if (this.dropped > 0) {
            this.addLine(this.options.formatDropped(this.dropped));
            this.dropped = 0;
        }
        this.addLine(line);
        this.startWriting();
    }

    /** @returns Lines that were not handed to the reader yet, with their line breaks; for the end of a process. */
    takeWaiting(): string {
        const text = this.waiting.join("");
        this.waiting = [];
        this.waitingLength = 0;
        return text;
    }

    private addLine(line: string): void {
        this.waiting.push(`${line}\n`);
        this.waitingLength += line.length + 1;
    }

    private takeCredit(): boolean {
        const { linesPerSecond, readNowMs } = this.options;
        const nowMs = readNowMs();
        const earned = ((nowMs - this.creditMs) / millisecondsPerSecond) * linesPerSecond;
        this.credit = Math.min(linesPerSecond, this.credit + earned);
        this.creditMs = nowMs;
        if (this.credit < 1) {
            return false;
        }
        this.credit -= 1;
        return true;
    }

    private startWriting(): void {
        if (this.isWriting || this.waiting.length === 0) {
            return;
        }
        this.isWriting = true;
        const text = this.waiting.join("");
        const length = this.waitingLength;
        this.waiting = [];
        this.options.writeBytes(text, () => {
            this.waitingLength -= length;
            this.isWriting = false;
            this.startWriting();
        });
    }
}
