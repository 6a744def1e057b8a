/**
 * Writes the answer of a completion, as a stream of events or whole.
 *
 * @packageDocumentation
 */
import type { ServerResponse } from "node:http";
import type { AnswerFormat } from "./completionRequest.js";

/** Why an answer ended. */
export type FinishReason = "stop" | "length";

/** Token counts of an answer. */
export interface AnswerUsage {
    readonly promptTokens: number;
    readonly cachedTokens: number;
    /** Tokens of the whole answer, the resumed part included. */
    readonly completionTokens: number;
    readonly resumedTokens: number;
}

/** What identifies an answer. */
export interface AnswerIdentity {
    readonly requestId: string;
    readonly model: string;
    readonly form: AnswerFormat;
    /** Wall time of creation, in seconds since the Unix epoch. */
    readonly createdS: number;
}

/** Receives the tokens of one answer. */
export interface AnswerWriter {
    /** Whether the receiver is too slow to take more now. */
    isBlocked(): boolean;
    /**
     * Writes tokens.
     *
     * @param tokens - The texts.
     */
    writeTokens(tokens: readonly string[]): void;
    /**
     * Ends the answer.
     *
     * @param reason - Why it ended.
     * @param usage - Token counts.
     */
    finish(reason: FinishReason, usage: AnswerUsage): void;
    /**
     * Ends the answer with an explicit error.
     *
     * @param message - What happened.
     */
    finishWithError(message: string): void;
    /** Ends the connection; what was written before still leaves. */
    close(): void;
}

/** Streams events, one a token, that end in `[DONE]`. */
export class EventStreamWriter implements AnswerWriter {
    private readonly chunkPrefix: string;
    private readonly chunkSuffix: string;

    /**
     * @param response - Where to; the header is written at once.
     * @param identity - What identifies the answer.
     */
    constructor(
        private readonly response: ServerResponse,
        private readonly identity: AnswerIdentity,
    ) {
        const object = identity.form === "chat" ? "chat.completion.chunk" : "text_completion";
        const head = JSON.stringify({
            id: identity.requestId,
            object,
            created: identity.createdS,
            model: identity.model,
        });
        const opening = identity.form === "chat" ? `"delta":{"content":"` : `"text":"`;
        const closing = identity.form === "chat" ? `"}` : `"`;
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
        const content = this.identity.form === "chat" ? { delta: {} } : { text: "" };
        const last = {
            id: this.identity.requestId,
            object: this.identity.form === "chat" ? "chat.completion.chunk" : "text_completion",
            created: this.identity.createdS,
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

/** Gathers the answer and writes it whole. */
export class BufferedAnswerWriter implements AnswerWriter {
    private readonly parts: string[] = [];

    /**
     * @param response - Where to.
     * @param identity - What identifies the answer.
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
        const isChat = this.identity.form === "chat";
        const content = isChat ? { message: { role: "assistant", content: text } } : { text };
        this.writeJson(200, {
            id: this.identity.requestId,
            object: isChat ? "chat.completion" : "text_completion",
            created: this.identity.createdS,
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

/** Takes the whole answer and destroys the connection in place of writing it. */
export class DroppedAnswerWriter implements AnswerWriter {
    /**
     * @param response - The connection to destroy at the end.
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

/** Takes the whole answer and sends a failure in place of it. */
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
