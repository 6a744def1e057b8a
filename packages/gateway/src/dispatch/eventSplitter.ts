/**
 * Splits a stream of server-sent events at event boundaries, without changing any bytes.
 *
 * @packageDocumentation
 */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = "id:";

/** One or more complete events of a stream. */
export interface CompleteEvents {
    /** Bytes of the events, unchanged. */
    readonly bytes: Buffer;
    readonly count: number;
    /** Identifier of the last event that has one; undefined when none has. */
    readonly lastId: string | undefined;
}

/** Buffers the bytes of an event until it is complete. */
export class EventSplitter {
    private incompleteBytes: Buffer = Buffer.alloc(0);

    /**
     * Adds bytes of the stream and takes the events that they complete.
     *
     * @param chunk - The bytes.
     * @returns The completed events, or undefined when there are none.
     */
    takeEvents(chunk: Buffer): CompleteEvents | undefined {
        const bytes =
            this.incompleteBytes.length === 0 ? chunk : Buffer.concat([this.incompleteBytes, chunk]);
        const ends = findEventEnds(bytes);
        const end = ends.at(-1);
        if (end === undefined) {
            this.incompleteBytes = bytes;
            return undefined;
        }
        this.incompleteBytes = bytes.subarray(end);
        const complete = bytes.subarray(0, end);
        return { bytes: complete, count: ends.length, lastId: findLastId(complete) };
    }

    /** @returns The number of buffered bytes of an incomplete event. */
    countIncompleteBytes(): number {
        return this.incompleteBytes.length;
    }
}

/** Finds the offsets at which events end: after each empty line. */
function findEventEnds(bytes: Buffer): number[] {
    const ends: number[] = [];
    let lineStart = 0;
    for (let index = bytes.indexOf(lineFeed); index >= 0; index = bytes.indexOf(lineFeed, index + 1)) {
        const isEmpty =
            index === lineStart || (index === lineStart + 1 && bytes[lineStart] === carriageReturn);
        if (isEmpty) {
            ends.push(index + 1);
        }
        lineStart = index + 1;
    }
    return ends;
}

function findLastId(bytes: Buffer): string | undefined {
    const lines = bytes.toString("latin1").split("\n");
    const line = lines.findLast((candidate) => candidate.startsWith(idField));
    return line?.slice(idField.length).trim();
}
