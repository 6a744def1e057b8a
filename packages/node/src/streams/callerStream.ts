/**
 * Writes a stream of server-sent events to one caller.
 *
 * @packageDocumentation
 */
import type { ServerResponse } from "node:http";
import { ErrorKind, type RouterError, type WaitingClock } from "@pimentocleat/types";
import { formatErrorBody } from "../errors/formatError.js";

/** Receives notifications about the caller's connection. */
export interface CallerStreamListener {
    /** Called when the write buffer has drained after `writeEvents` returned false. */
    onDrain(): void;
}

/** Options of a {@link CallerStream}. */
export interface CallerStreamOptions {
    readonly requestId: string;
    readonly response: ServerResponse;
    readonly clock: WaitingClock;
    /** Maximum time for which the caller may read no data, in milliseconds. */
    readonly stalledCallerMs: number;
    /** Called when the caller has read no data for `stalledCallerMs`. */
    readonly onStalled: () => void;
    /** Whether to close the connection after this response; evaluated when the head is sent. */
    readonly isClosing: () => boolean;
}

/** Writes events to a caller and applies its backpressure. */
export class CallerStream {
    private listener: CallerStreamListener | undefined;
    private stallTimer: AbortController | undefined;

    /** @param options - The response, its timeout and callbacks. */
    constructor(private readonly options: CallerStreamOptions) {
        options.response.on("drain", () => this.handleDrain());
    }

    /** Whether the status line and headers were sent. */
    get started(): boolean {
        return this.options.response.headersSent;
    }

    /** @param listener - Replaces the previous listener; undefined removes it. */
    setListener(listener: CallerStreamListener | undefined): void {
        this.listener = listener;
    }

    /**
     * Writes events.
     *
     * @param events - Complete events.
     * @returns False when the write buffer is full; wait for `onDrain` before writing more.
     */
    writeEvents(events: string | Buffer): boolean {
        this.sendHead();
        const writable = this.options.response.write(events);
        if (!writable && this.stallTimer === undefined) {
            this.startStallTimer();
        }
        return writable;
    }

    /** Ends the response after a complete stream. */
    finish(): void {
        this.sendHead();
        this.stallTimer?.abort();
        this.options.response.end();
    }

    /**
     * Ends an incomplete stream with an error event and closes the connection. If the caller's key was
     * withdrawn and the write buffer hasn't drained, destroys the connection immediately.
     *
     * @param error - The error to report.
     */
    finishWithError(error: RouterError): void {
        this.sendHead();
        this.stallTimer?.abort();
        const { response, requestId } = this.options;
        const body = formatErrorBody(error, requestId);
        const { socket } = response;
        response.end(`event: error\ndata: ${body}\n\n`, () => socket?.end());
        if (error.kind === ErrorKind.KeyWithdrawn && response.writableNeedDrain) {
            socket?.destroy();
        }
    }

    private sendHead(): void {
        const { response, requestId, isClosing } = this.options;
        if (response.headersSent) {
            return;
        }
        response.writeHead(200, {
            "content-type": "text/event-stream; charset=utf-8",
            "cache-control": "no-store",
            "x-request-id": requestId,
            ...(isClosing() ? { connection: "close" } : {}),
        });
    }

    private handleDrain(): void {
        this.stallTimer?.abort();
        this.stallTimer = undefined;
        this.listener?.onDrain();
    }

    private startStallTimer(): void {
        const stallTimer = new AbortController();
        this.stallTimer = stallTimer;
        void this.options.clock.wait(this.options.stalledCallerMs, stallTimer.signal).then(() => {
            if (!stallTimer.signal.aborted) {
                this.options.onStalled();
            }
        });
    }
}
