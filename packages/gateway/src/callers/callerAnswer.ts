/**
 * The answer to one caller: whole, as a stream, or broken off so that it cannot look complete.
 *
 * @packageDocumentation
 */
import type { ServerResponse } from "node:http";

/** Headers of an answer. */
export type AnswerHeaders = Readonly<Record<string, string | string[]>>;

/** Writes the answer of one request. */
export class CallerAnswer {
    private disconnectListener: (() => void) | undefined;
    private disconnected = false;
    private finished = false;

    /**
     * @param response - The caller's connection.
     * @param isClosing - Whether the connection closes after this answer.
     */
    constructor(
        private readonly response: ServerResponse,
        private readonly isClosing: () => boolean,
    ) {
        response.once("close", () => {
            if (!this.finished) {
                this.disconnected = true;
                this.disconnectListener?.();
            }
        });
        // A caller that resets its connection is seen by the close event.
        response.on("error", () => undefined);
    }

    /** Whether the caller left before its answer was complete. */
    get isDisconnected(): boolean {
        return this.disconnected;
    }

    /** Whether the answer, or its head, was sent. */
    get isStarted(): boolean {
        return this.finished || this.response.headersSent;
    }

    /** @param listener - Called when the caller leaves before its answer is complete. */
    setDisconnectListener(listener: (() => void) | undefined): void {
        this.disconnectListener = listener;
    }

    /**
     * Sends a whole answer.
     *
     * @param status - Status code.
     * @param headers - Headers without the length.
     * @param body - The body.
     */
    sendComplete(status: number, headers: AnswerHeaders, body: Buffer): void {
        if (this.disconnected || this.finished) {
            return;
        }
        this.finished = true;
        this.writeHead(status, { ...headers, "content-length": String(body.length) });
        this.response.end(body);
    }

    /**
     * Sends the head of a stream.
     *
     * @param status - Status code.
     * @param headers - Headers; a length is kept when the server gave one.
     */
    startStream(status: number, headers: AnswerHeaders): void {
        if (!this.disconnected && !this.isStarted) {
            this.writeHead(status, headers);
        }
    }

    /**
     * Passes bytes on at once.
     *
     * @param bytes - The bytes.
     * @returns Whether more may follow without waiting for {@link CallerAnswer.onWritable}.
     */
    writeBytes(bytes: Buffer): boolean {
        return this.disconnected || this.finished || this.response.write(bytes);
    }

    /** @param listener - Called once the caller has taken what was written. */
    onWritable(listener: () => void): void {
        this.response.once("drain", listener);
    }

    /** Ends a stream as complete. */
    finishStream(): void {
        if (!this.disconnected && !this.finished) {
            this.finished = true;
            this.response.end();
        }
    }

    /** Resets the caller's connection, so that what it has does not look complete. */
    abort(): void {
        if (!this.finished) {
            this.finished = true;
            this.response.destroy();
        }
    }

    private writeHead(status: number, headers: AnswerHeaders): void {
        const all = this.isClosing() ? { ...headers, connection: "close" } : headers;
        this.response.writeHead(status, all as Record<string, string | string[]>);
    }
}
