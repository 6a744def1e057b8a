/**
 * One answer that the engine generates.
 *
 * @packageDocumentation
 */
import type { RecordedRequest } from "../program/requestRecorder.js";
import type { AnswerWriter, FinishReason } from "./answerWriter.js";
import { countTokens, type TokenGenerator } from "./tokenGenerator.js";

/** What a sequence needs. */
export interface SequenceOptions {
    readonly requestId: string;
    readonly model: string;
    /** Lower runs first. */
    readonly priority: number;
    readonly prompt: string;
    readonly resumedText: string;
    /** Tokens of the answer that the caller has already. */
    readonly resumedTokens: number;
    /** Length of the whole answer, in tokens. */
    readonly length: number;
    readonly finishReason: FinishReason;
    readonly generator: TokenGenerator;
    readonly writer: AnswerWriter;
    readonly record: RecordedRequest;
    /** Cuts the connection after this many tokens. */
    readonly cutAfterTokens?: number;
}

/** State of a sequence. */
export type SequenceState = "waiting" | "running" | "finished" | "cancelled";

/** An answer in the making. */
export class Sequence {
    state: SequenceState = "waiting";
    /** Monotonic time at which its first token may come, in milliseconds. */
    prefillEndMs = 0;
    private position: number;
    private cachedTokens = 0;
    private readonly promptTokens: number;

    /**
     * @param options - What it needs.
     */
    constructor(readonly options: SequenceOptions) {
        this.position = options.resumedTokens;
        this.promptTokens = countTokens(options.prompt);
    }

    /** The text that the engine reads before the first token. */
    get prefillText(): string {
        return this.options.prompt + this.options.resumedText;
    }

    /** The text in the engine's memory. */
    get cachedText(): string {
        return this.options.prompt + this.options.generator.buildText(this.position);
    }

    /** Tokens of the whole answer so far. */
    get tokens(): number {
        return this.position;
    }

    /**
     * Takes a slot.
     *
     * @param cachedCharacters - Leading characters of the text that the cache holds.
     * @param nowMs - Monotonic time, in milliseconds.
     * @param prefillMsPer1000 - Time to read 1,000 tokens, in milliseconds.
     */
    start(cachedCharacters: number, nowMs: number, prefillMsPer1000: number): void {
        const text = this.prefillText;
        const cachedShare = text.length === 0 ? 0 : cachedCharacters / text.length;
        const tokens = this.promptTokens + this.options.resumedTokens;
        const uncachedTokens = tokens * (1 - cachedShare);
        this.cachedTokens = Math.min(this.promptTokens, Math.floor(tokens * cachedShare));
        this.prefillEndMs = nowMs + (uncachedTokens / 1_000) * prefillMsPer1000;
        this.state = "running";
    }

    /**
     * Generates tokens, up to the end of the answer.
     *
     * @param count - Most tokens.
     * @returns How many were generated.
     */
    advance(count: number): number {
        const { length, generator, writer, record } = this.options;
        const generated = Math.min(count, length - this.position, this.countTokensUntilCut());
        if (generated > 0) {
            const tokens: string[] = [];
            for (let offset = 0; offset < generated; offset += 1) {
                tokens.push(generator.buildToken(this.position + offset));
            }
            writer.writeTokens(tokens);
            this.position += generated;
            record.tokensGenerated += generated;
        }
        this.finishIfComplete();
        return generated;
    }

    /**
     * Gives the answer up.
     *
     * @param message - Sent as an explicit error unless undefined; then the connection is gone already.
     */
    cancel(message: string | undefined): void {
        if (this.state === "finished" || this.state === "cancelled") {
            return;
        }
        this.state = "cancelled";
        this.options.record.outcome = "cancelled";
        if (message !== undefined) {
            this.options.writer.finishWithError(message);
        }
    }

    private countTokensUntilCut(): number {
        const { cutAfterTokens, record } = this.options;
        return cutAfterTokens === undefined ? Infinity : cutAfterTokens - record.tokensGenerated;
    }

    private finishIfComplete(): void {
        const { length, writer, finishReason, resumedTokens } = this.options;
        if (this.countTokensUntilCut() <= 0) {
            this.cancel(undefined);
            writer.close();
            return;
        }
        if (this.position < length) {
            return;
        }
        this.state = "finished";
        writer.finish(finishReason, {
            promptTokens: this.promptTokens,
            cachedTokens: this.cachedTokens,
            completionTokens: this.position,
            resumedTokens,
        });
    }
}
