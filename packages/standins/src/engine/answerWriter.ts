/**
 * Writes the response of a completion, as server-sent events or as one JSON body.
 *
 * @packageDocumentation
 */
import type { ServerResponse } from "node:http";
import type { AnswerFormat } from "./completionRequest.js";

/** Why the generation ended: at the model's natural end or at the maximum length. */
export type FinishReason = "stop" | "length";

/** Token counts of a completion. */
export interface AnswerUsage {
    readonly promptTokens: number;
    readonly cachedTokens: number;
    /** Tokens of the complete answer, including the resumed part. */
    readonly completionTokens: number;
    readonly resumedTokens: number;
}

/** Fields that every event or body of a response repeats. */
export interface AnswerIdentity {
    readonly requestId: string;
    readonly model: string;
    readonly format: AnswerFormat;
    /** Wall time at which the response was created, in seconds since the Unix epoch. */
    readonly createdAtSeconds: number;
}

/** Writes the tokens of one completion to its caller. */
export interface AnswerWriter {
    /** @returns Whether the caller must read buffered data before more can be written. */
    isBlocked(): boolean;
    /**
     * Writes the next tokens.
     *
     * @param tokens - Texts of the tokens.
     */
    writeTokens(tokens: readonly string[]): void;
    /**
     * Completes the response.
     *
     * @param reason - Why the generation ended.
     * @param usage - Token counts.
     */
    finish(reason: FinishReason, usage: AnswerUsage): void;
    /**
     * Ends the response with an error.
     *
     * @param message - Error message for the caller.
     */
    finishWithError(message: string): void;
    /** Closes the connection before the response is complete; data written before is still sent. */
    close(): void;
}

/** Streams one server-sent event per token, followed by `[DONE]`. */
export class EventStreamWriter implements AnswerWriter {
    private readonly chunkPrefix: string;
    private readonly chunkSuffix: string;

    /**
     * @param response - HTTP response to write to; its headers are sent immediately.
     * @param identity - Fields that every event repeats.
     */
    constructor(
        private readonly response: ServerResponse,
        private readonly identity: AnswerIdentity,
    ) {
        const object = identity.format === "chat" ? "chat.completion.chunk" : "text_completion";
        const head = JSON.stringify({
            id: identity.requestId,
            object,
            created: identity.createdAtSeconds,
            model: identity.model,
        });
        const opening = identity.format === "chat" ? `"delta":{"content":"` : `"text":"`;
        const closing = identity.format === "chat" ? `"}` : `"`;
        this.chunkPrefix = `data: ${head.slice(0, -1)},"choices":[{"index":0,${opening}`;
        this.chunkSuffix = `${closing},"finish_reason":null}]}\n\n`;
        response.writeHead(200, {
            "content-type": "text/event-stream",
            "cache-control": "no-cache",
            "x-request-id": identity.requestId,
        });
        response.flushHeaders();
    }

    isBlocked(): boolean {
        return this.response.writableNeedDrain;
    }

    writeTokens(tokens: readonly string[]): void {
        this.response.write(tokens.map((token) => this.chunkPrefix + token + this.chunkSuffix).join(""));
    }

    finish(reason: FinishReason, usage: AnswerUsage): void {
        const content = this.identity.format === "chat" ? { delta: {} } : { text: "" };
        const last = {
            id: this.identity.requestId,
            object: this.identity.format === "chat" ? "chat.completion.chunk" : "text_completion",
            created: this.identity.createdAtSeconds,
            model: this.identity.model,
            choices: [{ index: 0, ...content, finish_reason: reason }],
            usage: formatUsage(usage),
        };
        this.response.end(`data: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`);
    }

    finishWithError(message: string): void {
        this.response.end(`data: ${JSON.stringify({ error: { message } })}\n\n`);
    }

    close(): void {
        this.response.socket?.destroySoon();
    }
}

/** Buffers the tokens and writes the completion as one JSON body. */
export class BufferedAnswerWriter implements AnswerWriter {
    private readonly parts: string[] = [];

    /**
     * @param response - HTTP response to write to.
     * @param identity - Fields of the body that identify the completion.
     */
    constructor(
        private readonly response: ServerResponse,
        private readonly identity: AnswerIdentity,
    ) {}

    isBlocked(): boolean {
        return false;
    }

    writeTokens(tokens: readonly string[]): void {
        this.parts.push(...tokens);
    }

    finish(reason: FinishReason, usage: AnswerUsage): void {
        const text = this.parts.join("");
        const isChat = this.identity.format === "chat";
        const content = isChat ? { message: { role: "assistant", content: text } } : { text };
        this.writeJson(200, {
            id: this.identity.requestId,
            object: isChat ? "chat.completion" : "text_completion",
            created: this.identity.createdAtSeconds,
            model: this.identity.model,
            choices: [{ index: 0, ...content, finish_reason: reason }],
            usage: formatUsage(usage),
        });
    }

    finishWithError(message: string): void {
        this.writeJson(500, { error: { message } });
    }

    close(): void {
        this.response.destroy();
    }

    private writeJson(status: number, body: object): void {
        const text = JSON.stringify(body);
        this.response.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(text),
            "x-request-id": this.identity.requestId,
        });
        this.response.end(text);
    }
}

/** Discards the tokens and destroys the connection at the end; used for the `dropReply` fault. */
export class DroppedAnswerWriter implements AnswerWriter {
    /**
     * @param response - HTTP response whose connection is destroyed.
     */
    constructor(protected readonly response: ServerResponse) {}

    isBlocked(): boolean {
        return false;
    }

    writeTokens(): void {}

    finish(): void {
        this.close();
    }

    finishWithError(): void {
        this.close();
    }

    close(): void {
        this.response.destroy();
    }
}

/** Discards the tokens and responds with status 503 at the end; used for the `failAfterEffect` fault. */
export class FailedAnswerWriter extends DroppedAnswerWriter {
    override finish(): void {
        this.response.writeHead(503, { "content-type": "application/json" });
        this.response.end(JSON.stringify({ message: "failed by a fault switch", executed: "unknown" }));
    }
}

function formatUsage(usage: AnswerUsage): object {
    return {
        prompt_tokens: usage.promptTokens,
        completion_tokens: usage.completionTokens,
        total_tokens: usage.promptTokens + usage.completionTokens,
        prompt_tokens_details: { cached_tokens: usage.cachedTokens },
        completion_tokens_details: { resumed_tokens: usage.resumedTokens },
    };
}
