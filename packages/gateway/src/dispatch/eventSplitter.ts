/**
 * Splits a stream of server-sent events at event boundaries, without changing any bytes.
 *
 * @packageDocumentation
 */
import { ByteCollector } from "@pimentocleat/types";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = "id:";
const dataField = "data";
/** Maximum number of bytes without a complete event that has data, or the stream is no answer. */
const maximumBytesWithoutData = 1_024 * 1_024;

/** One or more complete events of a stream. */
export interface CompleteEvents {
    /** Bytes of the events, unchanged. */
    readonly bytes: Buffer;
    readonly count: number;
    /** Identifier of the last event that has one; undefined when none has. */
    readonly lastId: string | undefined;
    /** Whether one of the events has data, rather than comments only. */
    readonly hasData: boolean;
}

/** Where the last line of the bytes so far stands: only the bytes that come next have to be read. */
interface LineState {
    /** Number of bytes in the current line, without its end. */
    length: number;
    /** Whether the line holds nothing but a carriage return. */
    isOnlyReturn: boolean;
}

/** Buffers the bytes of an event until it is complete. */
export class EventSplitter {
    private readonly incomplete = new ByteCollector();
    private bytesWithoutData = 0;
    private readonly line: LineState = { length: 0, isOnlyReturn: false };

    /**
     * Adds bytes of the stream and takes the events that they complete.
     *
     * @param chunk - The bytes.
     * @returns The completed events, or undefined when there are none.
     */
    takeEvents(chunk: Buffer): CompleteEvents | undefined {
        this.bytesWithoutData += chunk.length;
        const ends = findEventEnds(chunk, this.line);
        const end = ends.at(-1);
        if (end === undefined) {
            this.incomplete.append(chunk);
            return undefined;
        }
        this.incomplete.append(chunk.subarray(0, end));
        const complete = this.incomplete.takeBytes();
        const rest = chunk.subarray(end);
        if (rest.length > 0) {
            this.incomplete.append(rest);
        }
        const lines = complete.toString("latin1").split("\n");
        const hasData = lines.some((line) => line.startsWith(dataField));
        if (hasData) {
            this.bytesWithoutData = rest.length;
        }
        return { bytes: complete, count: ends.length, lastId: findLastId(lines), hasData };
    }

    /** @returns The number of buffered bytes of an incomplete event. */
    countIncompleteBytes(): number {
        return this.incomplete.length;
    }

    /** @returns Whether so much came without data that it can be no answer. */
    isUnbounded(): boolean {
        return this.bytesWithoutData > maximumBytesWithoutData;
    }
}

/** Finds the offsets at which events end: after each empty line. Continues in the line that earlier bytes began. */
function findEventEnds(bytes: Buffer, line: LineState): number[] {
    const ends: number[] = [];
    let lineStart = 0;
    for (let index = bytes.indexOf(lineFeed); index >= 0; index = bytes.indexOf(lineFeed, index + 1)) {
        updateLine(line, bytes, lineStart, index);
        if (line.length === 0 || line.isOnlyReturn) {
            ends.push(index + 1);
        }
        line.length = 0;
        line.isOnlyReturn = false;
        lineStart = index + 1;
    }
    updateLine(line, bytes, lineStart, bytes.length);
    return ends;
}

function updateLine(line: LineState, bytes: Buffer, start: number, end: number): void {
    if (end > start) {
        line.isOnlyReturn = line.length === 0 && end === start + 1 && bytes[start] === carriageReturn;
        line.length += end - start;
    }
}

function findLastId(lines: readonly string[]): string | undefined {
    const line = lines.findLast((candidate) => candidate.startsWith(idField));
    return line?.slice(idField.length).trim();
}
