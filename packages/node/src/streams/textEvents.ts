/**
 * Reads the most common part of a stream, complete events that each carry one piece of ASCII text and no
 * finish reason, without parsing their JSON. Any other part needs the event parser.
 *
 * @packageDocumentation
 */

const lineFeed = 0x0a;
const eventStart = 'data: {"';
const eventEnd = "}]}";
const eventSeparator = "\n\n";
const unfinishedPattern = /"finish_reason": ?null/;
const textStartPattern = /"(?:content|text)": ?"/g;
const nonAsciiPattern = /[\u0080-\u00ff]/;

/** Content of consecutive events that carry only text. */
export interface TextEvents {
    /** Number of events with text. */
    readonly tokens: number;
    /** Text of each event; empty for an event without text. */
    readonly pieces: readonly string[];
}

/**
 * Reads a chunk that consists only of events with text.
 *
 * @param chunk - Bytes that start at the beginning of an event.
 * @returns The events' content, or undefined when the chunk needs the event parser.
 */
export function readTextEvents(chunk: Buffer): TextEvents | undefined {
    if (!hasCompleteLastEvent(chunk)) {
        return undefined;
    }
    const text = chunk.toString("latin1", 0, chunk.length - eventSeparator.length);
    if (nonAsciiPattern.test(text)) {
        return undefined;
    }
    const pieces: string[] = [];
    for (const event of text.split(eventSeparator)) {
        const piece = readPiece(event);
        if (piece === undefined) {
            return undefined;
        }
        pieces.push(piece);
    }
    return { tokens: pieces.reduce((count, piece) => count + Number(piece !== ""), 0), pieces };
}

/**
 * Checks whether a chunk ends with a complete event.
 *
 * @param chunk - Bytes of a stream.
 * @returns True when the next byte starts another event.
 */
export function hasCompleteLastEvent(chunk: Buffer): boolean {
    return chunk.at(-1) === lineFeed && chunk.at(-2) === lineFeed;
}

/**
 * Reads the text of one event; returns undefined when the event needs the parser. The patterns can't match
 * inside a JSON string, because quotation marks are escaped there.
 */
function readPiece(event: string): string | undefined {
    const hasExpectedShape =
        event.startsWith(eventStart) && event.endsWith(eventEnd) && !event.includes("\n");
    if (!hasExpectedShape || !unfinishedPattern.test(event)) {
        return undefined;
    }
    textStartPattern.lastIndex = 0;
    if (!textStartPattern.test(event)) {
        return undefined;
    }
    const start = textStartPattern.lastIndex;
    const end = event.indexOf('"', start);
    const piece = event.slice(start, end);
    return piece.includes("\\") || textStartPattern.test(event) ? undefined : piece;
}
