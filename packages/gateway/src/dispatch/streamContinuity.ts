/**
 * Checks that a response continues a stream, so that no error and no piece of another run gets into it. A server that does
 * not heed the identifier of the last event starts another run, whose pieces must not be joined to those of the first;
 * therefore nothing is skipped: what does not follow is refused.
 *
 * @packageDocumentation
 */
import type { CompleteEvents } from "./eventSplitter.js";

const eventStreamType = "text/event-stream";
const errorType = "error";
const identifierPattern = /^\d+$/;
/** A comment, or one of the fields that an event stream has. */
const linePattern = /^(?::.*|(?:id|data|event|retry)(?::.*)?)?$/s;
const fieldPattern = /^(id|data|event)(?:: ?(.*))?$/s;

/** One event with data. */
interface DataEvent {
    readonly id: string | undefined;
    readonly type: string | undefined;
}

/** Follows the identifiers of one stream through all responses that it comes in. */
export class StreamContinuity {
    private lastId: string | undefined;
    /** Whether the last event with data has no identifier, so that none tells what was passed on. */
    private isUnidentified = false;
    /** Number of steps between identifiers, and how many of them were steps of one. */
    private steps = 0;
    private singleSteps = 0;

    /** @param lastId - Identifier of the last event that the caller received before this request; undefined for none. */
    constructor(lastId: string | undefined) {
        this.lastId = lastId;
    }

    /** Identifier of the last event that was passed on and has one. */
    get lastEventId(): string | undefined {
        return this.lastId;
    }

    /**
     * Checks whether the stream can be resumed after what was passed on.
     *
     * @returns False when no identifier tells where it has to go on.
     */
    isResumable(): boolean {
        return (
            !this.isUnidentified && (this.lastId === undefined || parseIdentifier(this.lastId) !== undefined)
        );
    }

    /**
     * Checks whether the next response has to continue the stream after an event whose identifier can be compared.
     *
     * @returns False at the start of a stream.
     */
    isContinued(): boolean {
        return this.lastId !== undefined && parseIdentifier(this.lastId) !== undefined;
    }

    /**
     * Records events that are passed on.
     *
     * @param events - The events.
     */
    recordEvents(events: CompleteEvents): void {
        if (!events.hasData) {
            return;
        }
        for (const { id } of listDataEvents(events.bytes)) {
            this.isUnidentified = id === undefined;
            if (id !== undefined) {
                this.recordStep(id);
                this.lastId = id;
            }
        }
    }

    /**
     * Finds lines that belong to no event, such as those of an error or of a response head.
     *
     * @param events - Events of a response that continues the stream.
     * @returns A description, or undefined when there are none.
     */
    findLineFault(events: CompleteEvents): string | undefined {
        return parseLines(events.bytes).every((line) => linePattern.test(line))
            ? undefined
            : "the resumed stream has lines that belong to no event";
    }

    /**
     * Finds what shows that the first event with data of a response does not follow the events that were recorded.
     *
     * @param events - The first events of the response.
     * @returns A description, or undefined when it follows or there is none.
     */
    findFirstEventFault(events: CompleteEvents): string | undefined {
        const [first] = listDataEvents(events.bytes);
        if (first === undefined) {
            return undefined;
        }
        if (first.type === errorType) {
            return "the resumed stream begins with an error";
        }
        return this.findStepFault(first.id);
    }

    private findStepFault(id: string | undefined): string | undefined {
        const next = parseIdentifier(id);
        const last = parseIdentifier(this.lastId);
        if (next === undefined || last === undefined) {
            return "the resumed stream begins with an event without a number";
        }
        if (next <= last) {
            return `the resumed stream begins with event ${String(next)}, which is not after ${String(last)}`;
        }
        const isGap = this.steps > 0 && this.steps === this.singleSteps && next !== last + 1n;
        return isGap
            ? `the resumed stream begins with event ${String(next)} and not with ${String(last + 1n)}`
            : undefined;
    }

    private recordStep(id: string): void {
        const next = parseIdentifier(id);
        const last = parseIdentifier(this.lastId);
        if (this.lastId !== undefined) {
            this.steps += 1;
            this.singleSteps += next !== undefined && last !== undefined && next === last + 1n ? 1 : 0;
        }
    }
}

/**
 * Checks whether the type of a response is the one of a stream.
 *
 * @param contentType - The content type; undefined when the response states none.
 * @returns False when another type is stated.
 */
export function isEventStreamType(contentType: string | undefined): boolean {
    return contentType === undefined || contentType.split(";")[0]!.trim().toLowerCase() === eventStreamType;
}

function parseIdentifier(id: string | undefined): bigint | undefined {
    return id !== undefined && identifierPattern.test(id) ? BigInt(id) : undefined;
}

function parseLines(bytes: Buffer): string[] {
    return bytes.toString("latin1").split(/\r?\n/);
}

function listDataEvents(bytes: Buffer): DataEvent[] {
    const events: DataEvent[] = [];
    let fields = new Map<string, string>();
    for (const line of parseLines(bytes)) {
        if (line === "") {
            if (fields.has("data")) {
                events.push({ id: fields.get("id")?.trim(), type: fields.get("event")?.trim() });
            }
            fields = new Map();
        }
        const [, name, value = ""] = fieldPattern.exec(line) ?? [];
        if (name !== undefined) {
            fields.set(name, value);
        }
    }
    return events;
}
