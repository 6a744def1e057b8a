/**
 * The response to one caller: complete, streamed, or aborted so that it cannot be mistaken for a complete one.
 *
 * @packageDocumentation
 */
import type { ServerResponse } from "node:http";

/** Response headers. */
export type AnswerHeaders = Readonly<Record<string, string | string[]>>;

/** Bytes that a stalled response holds on the side of its backend server, in bytes: received there and not passed on. */
const stalledBytes = 128 * 1_024;

/** Counts what was written to a caller and is not sent, because the caller does not read it. */
export interface UnreadCounter {
    /** @param change - Change of the number of bytes. */
    addUnreadBytes(change: number): void;
}

/** Writes the response to one request. */
export class CallerAnswer {
    private disconnectListener: (() => void) | undefined;
    private disconnected = false;
    private finished = false;
    /** Whether the caller has to read before more is written. */
    private isStalled = false;

    /**
     * @param response - Response on the caller's connection.
     * @param isClosing - Whether the connection closes after this response.
     * @param unread - Counts what is written and not sent; undefined when the connection has closed.
     */
    constructor(
        private readonly response: ServerResponse,
        private readonly isClosing: () => boolean,
        private readonly unread: UnreadCounter | undefined,
    ) {
        response.once("close", () => {
            if (!this.finished) {
                this.disconnected = true;
                this.disconnectListener?.();
            }
        });
        // The close event also reports a connection that the caller reset.
        response.on("error", () => undefined);
    }

    /** Whether the caller disconnected before the response was complete. */
    get isDisconnected(): boolean {
        return this.disconnected;
    }

    /** Whether at least the head of the response was sent. */
    get isStarted(): boolean {
        return this.finished || this.response.headersSent;
    }

    /** @param listener - Called when the caller disconnects before the response is complete. */
    setDisconnectListener(listener: (() => void) | undefined): void {
        this.disconnectListener = listener;
    }

    /**
     * Sends a complete response.
     *
     * @param status - Status code.
     * @param headers - Headers without the content length.
     * @param body - Response body.
     * @throws Error when a part of another response was sent before.
     */
    sendComplete(status: number, headers: AnswerHeaders, body: Buffer): void {
        if (this.disconnected || this.finished) {
            return;
        }
        this.writeHead(status, { ...headers, "content-length": String(body.length) });
        this.response.end(body, this.countUnread(body.length));
        // Last, so that a response that one of these steps failed to send can still be aborted.
        this.finished = true;
    }

    /**
     * Sends the head of a streamed response.
     *
     * @param status - Status code.
     * @param headers - Headers; a content length that the backend server sent is kept.
     */
    startStream(status: number, headers: AnswerHeaders): void {
        if (!this.disconnected && !this.isStarted) {
            this.writeHead(status, headers);
        }
    }

    /**
     * Writes bytes to the caller without buffering them for a complete response.
     *
     * @param bytes - The bytes.
     * @returns False when further writes should wait for {@link CallerAnswer.onWritable}.
     */
    writeBytes(bytes: Buffer): boolean {
        if (this.disconnected || this.finished) {
            return true;
        }
        const isFlowing = this.response.write(bytes, this.countUnread(bytes.length));
        if (!isFlowing && !this.isStalled) {
            this.recordStall();
        }
        return isFlowing;
    }

    /** @param listener - Called once, when the write buffer has been flushed to the caller. */
    onWritable(listener: () => void): void {
        this.response.once("drain", listener);
    }

    /** Ends a streamed response as complete. */
    finishStream(): void {
        if (!this.disconnected && !this.finished) {
            this.response.end();
            this.finished = true;
        }
    }

    /**
     * Destroys the caller's connection, so that a partial response cannot be mistaken for a complete one. It has no effect
     * on a response that was sent as a whole.
     */
    abort(): void {
        if (!this.finished) {
            this.finished = true;
            this.response.destroy();
        }
    }

    /** Counts what is held beside the written bytes until the caller has read them. */
    private recordStall(): void {
        this.isStalled = true;
        const finish = this.countUnread(stalledBytes);
        const handleFlow = (): void => {
            this.response.off("drain", handleFlow).off("close", handleFlow);
            this.isStalled = false;
            finish();
        };
        // A response that has been ended meanwhile closes without a drain.
        this.response.once("drain", handleFlow).once("close", handleFlow);
    }

    /** Counts bytes, and returns what ends that when they were sent. */
    private countUnread(length: number): () => void {
        this.unread?.addUnreadBytes(length);
        return () => this.unread?.addUnreadBytes(-length);
    }

    private writeHead(status: number, headers: AnswerHeaders): void {
        const all = this.isClosing() ? { ...headers, connection: "close" } : headers;
        this.response.writeHead(status, all as Record<string, string | string[]>);
    }
}
