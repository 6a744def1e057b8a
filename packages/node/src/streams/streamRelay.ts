/**
 * Relays a model engine's stream to a caller over one or more attempts and records what was relayed.
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

/** Parses bytes of a stream, which may end within an event or a character. */
interface EventParser {
    addBytes(chunk: Buffer): void;
}

/** Receives the progress of a stream. */
export interface StreamProgressListener {
    /**
     * Called after tokens were relayed to the caller.
     *
     * @param tokens - Number of tokens relayed since the previous call.
     */
    onTokens(tokens: number): void;
}

/** Options of a {@link StreamRelay}. */
export interface StreamRelayOptions {
    readonly caller: CallerStream;
    /** Whether to keep the relayed text, so that another engine can continue the stream. */
    readonly resumable: boolean;
    readonly progress: StreamProgressListener;
}

/** Output that was already relayed and from which another engine continues the stream. */
export interface ResumePoint {
    readonly text: string;
    readonly tokens: number;
}

/**
 * Relays complete events. Events from the finish reason on are held back until the terminator shows that
 * the stream is complete.
 */
export class StreamRelay {
    private readonly relayedText = new TextBuffer();
    private relayedTokens = 0;
    private usage: TokenUsage | undefined;
    private parser: EventParser | undefined;
    /** Whether the previous chunk ended within an event. */
    private isWithinEvent = false;
    private pendingOutput = "";
    /** Events from the finish reason on, held back until the terminator arrives. */
    private heldEvents = "";
    private heldTokens = 0;
    private pendingTokens = 0;
    private hasFinishReason = false;
    private hasTerminator = false;
    private fault: string | undefined;

    /** @param options - The caller's stream and the progress listener. */
    constructor(private readonly options: StreamRelayOptions) {}

    /** Number of tokens relayed to the caller. */
    get streamedTokens(): number {
        return this.relayedTokens;
    }

    /** Token counts that the engine reported; undefined until it sends them. */
    get reportedUsage(): TokenUsage | undefined {
        return this.usage;
    }

    /** @returns The text and the number of tokens relayed to the caller. */
    getResumePoint(): ResumePoint {
        return { text: this.relayedText.readText(), tokens: this.relayedTokens };
    }

    /** Starts a new attempt and discards incomplete output of the previous one. */
    startAttempt(): void {
        this.parser = undefined;
        this.isWithinEvent = false;
        this.pendingOutput = "";
        this.heldEvents = "";
        this.heldTokens = 0;
        this.pendingTokens = 0;
        this.hasFinishReason = false;
        this.hasTerminator = false;
        this.fault = undefined;
    }

    /**
     * Relays the complete events of a chunk.
     *
     * @param chunk - Bytes from the engine.
     * @returns False when the caller reads more slowly than the engine sends; pause reading until `onDrain`.
     */
    addChunk(chunk: Buffer): boolean {
        const textEvents = this.isWithinEvent || this.hasFinishReason ? undefined : readTextEvents(chunk);
        if (textEvents !== undefined) {
            return this.forwardTextEvents(chunk, textEvents);
        }
        this.isWithinEvent = !hasCompleteLastEvent(chunk);
        this.parser ??= this.createEventParser();
        this.parser.addBytes(chunk);
        if (this.pendingOutput === "") {
            return true;
        }
        const writable = this.options.caller.writeEvents(this.pendingOutput);
        this.pendingOutput = "";
        this.reportTokens();
        return writable;
    }

    /**
     * Finds a fault in the part of the stream received so far.
     *
     * @returns A description of the fault, or undefined.
     */
    findFault(): string | undefined {
        return this.fault;
    }

    /**
     * Ends the attempt. Sends the held events and the terminator when the stream is complete.
     *
     * @returns A description of the fault, or undefined when the complete stream was written to the caller.
     */
    finishAttempt(): string | undefined {
        if (this.fault !== undefined) {
            return this.fault;
        }
        if (!this.hasTerminator || !this.hasFinishReason) {
            return "the stream ended without its finish reason and terminator";
        }
        this.pendingTokens += this.heldTokens;
        this.options.caller.writeEvents(`${this.heldEvents}data: ${streamTerminator}\n\n`);
        this.options.caller.finish();
        this.reportTokens();
        return undefined;
    }

    private reportTokens(): void {
        if (this.pendingTokens > 0) {
            this.relayedTokens += this.pendingTokens;
            this.options.progress.onTokens(this.pendingTokens);
            this.pendingTokens = 0;
        }
    }

    private forwardTextEvents(chunk: Buffer, textEvents: TextEvents): boolean {
        if (this.fault !== undefined || this.hasTerminator) {
            this.fault ??= outputAfterTerminator;
            return true;
        }
        const writable = this.options.caller.writeEvents(chunk);
        if (this.options.resumable) {
            textEvents.pieces.forEach((piece) => this.relayedText.addPiece(piece));
        }
        this.pendingTokens += textEvents.tokens;
        this.reportTokens();
        return writable;
    }

    private createEventParser(): EventParser {
        const decoder = new StringDecoder("utf8");
        const parser = createParser({ onEvent: (event) => this.handleEvent(event.data, event.event) });
        return { addBytes: (chunk) => parser.feed(decoder.write(chunk)) };
    }

    private handleEvent(data: string, type: string | undefined): void {
        if (this.fault !== undefined) {
            return;
        }
        if (this.hasTerminator) {
            this.fault = outputAfterTerminator;
        } else if (type === "error") {
            this.fault = "the engine reported an error in the stream";
        } else if (data === streamTerminator) {
            this.hasTerminator = true;
        } else {
            this.handleOutput(data);
        }
    }

    private handleOutput(data: string): void {
        const event = parseStreamEvent(data);
        if (event === undefined) {
            this.fault = "an event of the stream is not valid";
            return;
        }
        this.usage = event.usage ?? this.usage;
        this.hasFinishReason ||= event.finished;
        const tokens = Number(event.generated);
        if (this.hasFinishReason) {
            this.heldEvents += formatEvent(data);
            this.heldTokens += tokens;
            return;
        }
        this.pendingOutput += formatEvent(data);
        this.pendingTokens += tokens;
        if (this.options.resumable && event.text !== "") {
            this.relayedText.addPiece(event.text);
        }
    }
}

function formatEvent(data: string): string {
    return `data: ${data.replaceAll("\n", "\ndata: ")}\n\n`;
}
