/**
 * The stream of events to one caller.
 *
 * @packageDocumentation
 */
import type { ServerResponse } from "node:http";
import { ErrorKind, type RouterError, type WaitingClock } from "@pimentocleat/types";
import { formatErrorBody } from "../errors/formatError.js";

/** Receives what the caller's side does. */
export interface CallerStreamListener {
    /** The caller takes data again. */
    onDrain(): void;
}

/** Options of a {@link CallerStream}. */
export interface CallerStreamOptions {
    readonly requestId: string;
    readonly response: ServerResponse;
    readonly clock: WaitingClock;
    /** Longest time in which the caller takes no data, in milliseconds. */
    readonly stalledCallerMs: number;
    /** Called when the caller took no data for too long. */
    readonly onStalled: () => void;
    /** Whether the connection ends after this answer. */
    readonly isClosing: () => boolean;
}

/** Writes events to a caller and heeds its pace. */
export class CallerStream {
    private listener: CallerStreamListener | undefined;
    private stall: AbortController | undefined;

    /** @param options - The response and its bounds. */
    constructor(private readonly options: CallerStreamOptions) {
        options.response.on("drain", () => this.handleDrain());
    }

    /** Whether the status line was sent. */
    get started(): boolean {
        return this.options.response.headersSent;
    }

    /** @param listener - Receives the caller's pace; replaces the last one. */
    setListener(listener: CallerStreamListener | undefined): void {
        this.listener = listener;
    }

    /**
     * Writes events.
     *
     * @param events - Whole events.
     * @returns False when the caller is slower than the backend server; wait for `onDrain`.
     */
    writeEvents(events: string | Buffer): boolean {
        this.sendHead();
        const writable = this.options.response.write(events);
        if (!writable && this.stall === undefined) {
            this.startStallTimer();
        }
        return writable;
    }

    /** Ends a complete stream. */
    finish(): void {
        this.sendHead();
        this.stall?.abort();
        this.options.response.end();
    }

    /**
     * Ends a stream that can't be completed by an error event, and the connection with it.
     *
     * @param error - Why it failed.
     */
    finishWithError(error: RouterError): void {
        this.sendHead();
        this.stall?.abort();
        const { response, requestId } = this.options;
        const body = formatErrorBody(error, requestId);
        const { socket } = response;
        response.end(`event: error\ndata: ${body}\n\n`, () => socket?.end());
        if (error.kind === ErrorKind.KeyWithdrawn && response.writableNeedDrain) {
            socket?.destroy();
        }
    }

    private sendHead(): void {
        const { response, requestId, isClosing: closing } = this.options;
        if (response.headersSent) {
            return;
        }
        response.writeHead(200, {
            "content-type": "text/event-stream; charset=utf-8",
            "cache-control": "no-store",
            "x-request-id": requestId,
            ...(closing() ? { connection: "close" } : {}),
        });
    }

    private handleDrain(): void {
        this.stall?.abort();
        this.stall = undefined;
        this.listener?.onDrain();
    }

    private startStallTimer(): void {
        const stall = new AbortController();
        this.stall = stall;
        void this.options.clock.wait(this.options.stalledCallerMs, stall.signal).then(() => {
            if (!stall.signal.aborted) {
                this.options.onStalled();
            }
        });
    }
}
