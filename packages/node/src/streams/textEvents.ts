/**
 * Recognizes the common case of a stream, whole events that each carry one piece of text, without
 * parsing their JSON. Anything else is left to the parser.
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

/** What plain events carry. */
export interface TextEvents {
    /** Number of events with text. */
    readonly tokens: number;
    /** Their text, one piece an event. */
    readonly pieces: readonly string[];
}

/**
 * Reads a part of a stream that consists of plain events only.
 *
 * @param chunk - Bytes that start at an event.
 * @returns What they carry, or undefined when a parser is needed.
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
 * Whether a part of a stream ends with a whole event.
 *
 * @param chunk - The bytes.
 * @returns True when the next byte starts another event.
 */
export function hasCompleteLastEvent(chunk: Buffer): boolean {
    return chunk.at(-1) === lineFeed && chunk.at(-2) === lineFeed;
}

/** Text of a plain event. A quotation mark inside JSON text is escaped, so that the patterns can't match there. */
function readPiece(event: string): string | undefined {
    const plain = event.startsWith(eventStart) && event.endsWith(eventEnd) && !event.includes("\n");
    if (!plain || !unfinishedPattern.test(event)) {
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
