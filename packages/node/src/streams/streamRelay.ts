/**
 * Relays a model engine's stream to a caller over one or more tries, and knows what the caller has
 * so far.
 *
 * @packageDocumentation
 */
import { StringDecoder } from "node:string_decoder";
import { createParser } from "eventsource-parser";
import type { CallerStream } from "./callerStream.js";
import { hasCompleteLastEvent, readTextEvents, type TextEvents } from "./textEvents.js";
import { parseStreamEvent, streamTerminator, type TokenUsage } from "./streamEvent.js";
import { TextBuffer } from "./textBuffer.js";

const outputAfterTerminator = "the stream goes on after its terminator";

interface EventParser {
    addBytes(chunk: Buffer): void;
}

/** Receives the progress of a stream. */
export interface StreamProgressListener {
    /**
     * Tokens were relayed to the caller.
     *
     * @param tokens - How many since the last call.
     */
    onTokens(tokens: number): void;
}

/** Options of a {@link StreamRelay}. */
export interface StreamRelayOptions {
    readonly caller: CallerStream;
    /** Whether to keep the text, so that the stream can continue on another engine. */
    readonly resumable: boolean;
    readonly progress: StreamProgressListener;
}

/** What a resumed stream continues from. */
export interface ResumePoint {
    readonly text: string;
    readonly tokens: number;
}

/** Relays whole events; the last event is held back until the terminator shows that nothing is missing. */
export class StreamRelay {
    private readonly text = new TextBuffer();
    private relayedTokens = 0;
    private usage: TokenUsage | undefined;
    private parser: EventParser | undefined;
    /** Whether the last part ended within an event. */
    private withinEvent = false;
    private output = "";
    private heldEvents = "";
    private heldTokens = 0;
    private tokens = 0;
    private finished = false;
    private terminated = false;
    private invalid: string | undefined;

    /** @param options - The caller and the receiver of progress. */
    constructor(private readonly options: StreamRelayOptions) {}

    /** Tokens that the caller has. */
    get streamedTokens(): number {
        return this.relayedTokens;
    }

    /** Token counts of the engine, once it sent them. */
    get reportedUsage(): TokenUsage | undefined {
        return this.usage;
    }

    /** @returns The text and tokens that the caller has. */
    getResumePoint(): ResumePoint {
        return { text: this.text.readText(), tokens: this.relayedTokens };
    }

    /** Starts a new try; what the last one left incomplete is forgotten. */
    startAttempt(): void {
        this.parser = undefined;
        this.withinEvent = false;
        this.output = "";
        this.heldEvents = "";
        this.heldTokens = 0;
        this.tokens = 0;
        this.finished = false;
        this.terminated = false;
        this.invalid = undefined;
    }

    /**
     * Relays the whole events of a part of the stream.
     *
     * @param chunk - Bytes from the engine.
     * @returns Whether the caller keeps pace.
     */
    addChunk(chunk: Buffer): boolean {
        const plain = this.withinEvent || this.finished ? undefined : readTextEvents(chunk);
        if (plain !== undefined) {
            return this.forwardTextEvents(chunk, plain);
        }
        this.withinEvent = !hasCompleteLastEvent(chunk);
        this.parser ??= this.createEventParser();
        this.parser.addBytes(chunk);
        if (this.output === "") {
            return true;
        }
        const writable = this.options.caller.writeEvents(this.output);
        this.output = "";
        this.reportTokens();
        return writable;
    }

    /**
     * Checks the stream so far.
     *
     * @returns What is wrong, or undefined.
     */
    findFault(): string | undefined {
        return this.invalid;
    }

    /**
     * Ends the try.
     *
     * @returns What is missing, or undefined when the stream is complete and the caller has it.
     */
    finishAttempt(): string | undefined {
        if (this.invalid !== undefined) {
            return this.invalid;
        }
        if (!this.terminated || !this.finished) {
            return "the stream ended without its finish reason and terminator";
        }
        this.tokens += this.heldTokens;
        this.options.caller.writeEvents(`${this.heldEvents}data: ${streamTerminator}\n\n`);
        this.options.caller.finish();
        this.reportTokens();
        return undefined;
    }

    private reportTokens(): void {
        if (this.tokens > 0) {
            this.relayedTokens += this.tokens;
            this.options.progress.onTokens(this.tokens);
            this.tokens = 0;
        }
    }

    private forwardTextEvents(chunk: Buffer, plain: TextEvents): boolean {
        if (this.invalid !== undefined || this.terminated) {
            this.invalid ??= outputAfterTerminator;
            return true;
        }
        const writable = this.options.caller.writeEvents(chunk);
        if (this.options.resumable) {
            plain.pieces.forEach((piece) => this.text.addPiece(piece));
        }
        this.tokens += plain.tokens;
        this.reportTokens();
        return writable;
    }

    private createEventParser(): EventParser {
        const decoder = new StringDecoder("utf8");
        const parser = createParser({ onEvent: (event) => this.handleEvent(event.data, event.event) });
        return { addBytes: (chunk) => parser.feed(decoder.write(chunk)) };
    }

    private handleEvent(data: string, type: string | undefined): void {
        if (this.invalid !== undefined) {
            return;
        }
        if (this.terminated) {
            this.invalid = outputAfterTerminator;
        } else if (type === "error") {
            this.invalid = "the engine reported an error in the stream";
        } else if (data === streamTerminator) {
            this.terminated = true;
        } else {
            this.handleOutput(data);
        }
    }

    private handleOutput(data: string): void {
        const event = parseStreamEvent(data);
        if (event === undefined) {
            this.invalid = "an event of the stream is not valid";
            return;
        }
        this.usage = event.usage ?? this.usage;
        this.finished ||= event.finished;
        const tokens = Number(event.generated);
        if (this.finished) {
            this.heldEvents += formatEvent(data);
            this.heldTokens += tokens;
            return;
        }
        this.output += formatEvent(data);
        this.tokens += tokens;
        if (this.options.resumable && event.text !== "") {
            this.text.addPiece(event.text);
        }
    }
}

function formatEvent(data: string): string {
    return `data: ${data.replaceAll("\n", "\ndata: ")}\n\n`;
}
