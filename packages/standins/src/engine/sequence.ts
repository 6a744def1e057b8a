/**
 * A sequence: one completion that the engine generates token by token.
 *
 * @packageDocumentation
 */
import type { RecordedRequest } from "../program/requestRecorder.js";
import type { AnswerWriter, FinishReason } from "./answerWriter.js";
import { countTokens, type TokenGenerator } from "./tokenGenerator.js";

/** Parameters of a {@link Sequence}. */
export interface SequenceOptions {
    readonly requestId: string;
    readonly model: string;
    /** Lower numbers start first. */
    readonly priority: number;
    readonly prompt: string;
    /** Part of the answer that the caller has already received; empty when the request resumes nothing. */
    readonly resumedText: string;
    /** Number of tokens of `resumedText`. */
    readonly resumedTokens: number;
    /** Length of the complete answer including the resumed part, in tokens. */
    readonly length: number;
    readonly finishReason: FinishReason;
    readonly generator: TokenGenerator;
    readonly writer: AnswerWriter;
    /** Record in which the generated tokens are counted. */
    readonly record: RecordedRequest;
    /** Number of generated tokens after which the connection is closed, for the `cutMidAnswer` fault. */
    readonly cutAfterTokens?: number;
}

/** State of a sequence. */
export type SequenceState = "waiting" | "running" | "finished" | "cancelled";

/** Generates the tokens of one completion and passes them to its writer. */
export class Sequence {
    state: SequenceState = "waiting";
    /** Monotonic time at which the prefill ends and the first token can be generated, in milliseconds. */
    prefillEndMs = 0;
    /** Number of tokens of the answer so far, which is the position of the next token. */
    private position: number;
    private cachedTokens = 0;
    private readonly promptTokens: number;

    /**
     * @param options - Parameters.
     */
    constructor(readonly options: SequenceOptions) {
        this.position = options.resumedTokens;
        this.promptTokens = countTokens(options.prompt);
    }

    /** Text that the prefill processes: the prompt and the resumed part of the answer. */
    get prefillText(): string {
        return this.options.prompt + this.options.resumedText;
    }

    /** Text that the KV cache of the sequence covers: the prompt and the answer so far. */
    get cachedText(): string {
        return this.options.prompt + this.options.generator.buildText(this.position);
    }

    /** Number of tokens of the answer so far, including the resumed part. */
    get completionTokens(): number {
        return this.position;
    }

    /**
     * Starts the prefill in a slot.
     *
     * @param cachedCharacters - Number of leading characters of `prefillText` in the prefix cache.
     * @param nowMs - Current monotonic time, in milliseconds.
     * @param prefillMsPer1000 - Prefill time of 1,000 uncached tokens, in milliseconds.
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
     * Generates tokens, up to the end of the answer, and finishes the response when it is complete.
     *
     * @param count - Maximum number of tokens to generate.
     * @returns The number of tokens generated.
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
     * Cancels the sequence; does nothing if it has already ended.
     *
     * @param message - Error message to send to the caller. Undefined sends nothing, for a connection that
     * is already closed or that the calling method closes.
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
