/**
 * Splits a stream of server-sent events at the ends of events, without changing a byte.
 *
 * @packageDocumentation
 */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = "id:";

/** Complete events of a stream. */
export interface CompleteEvents {
    /** The bytes of the events, as they came. */
    readonly bytes: Buffer;
    readonly count: number;
    /** Identifier of the last of them; undefined when none has one. */
    readonly lastId: string | undefined;
}

/** Holds the bytes of an event back until it is complete. */
export class EventSplitter {
    private incompleteBytes: Buffer = Buffer.alloc(0);

    /**
     * Adds bytes of the stream.
     *
     * @param chunk - The bytes.
     * @returns The events that are complete now, or undefined when there are none.
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

    /** @returns Bytes of an event that is not complete. */
    countIncompleteBytes(): number {
        return this.incompleteBytes.length;
    }
}

/** Finds where events end: behind each empty line. */
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
