/**
 * Ends responses that come without end, by bounds on what a server may send for one request.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import { errors, type Dispatcher } from "undici";

/** Maximum size of a response body, in bytes. */
export const maximumAnswerBytes = 64 * 1_024 * 1_024;
/** Maximum size of one head or of the trailers, in bytes. */
export const maximumHeadBytes = 32 * 1_024;
/** Maximum number of bytes that are parsed at once while a head arrives, and after it, when trailers may follow. */
export const maximumHeadReadBytes = 2 * 1_024;
const maximumBodyReadBytes = 16 * 1_024;
/** Maximum number of heads that precede the head of the response. */
const maximumInformationalHeads = 16;
/** Maximum number of bytes that are neither body nor its usual framing. */
const maximumFramingBytes = 256 * 1_024;
/** Bytes of framing beside each byte of the body; a chunk of one byte needs six. */
const framingPerBodyByte = 8;

/** Maximum number of small pieces of a body; each costs far more than its bytes. */
const maximumSmallPieces = 16_384;
/** Size of a piece that is not counted as small, in bytes; the shortest events with data are as long. */
const minimumPieceBytes = 8;

/** The error of a response that exceeds a bound. */
export class UnboundedAnswerError extends Error {
    readonly code = "PIMENTOCLEAT_UNBOUNDED_ANSWER";

    /** @param what - What came without end. */
    constructor(what: string) {
        super(`the server sent ${what} without end`);
        this.name = "UnboundedAnswerError";
    }
}

/** Code of the error of a check that failed; the HTTP client checks what its parser found in the bytes of a server. */
const failedCheckCode = "ERR_ASSERTION";

/**
 * Checks whether an error says that what arrived is no answer, rather than that the connection ended.
 *
 * @param error - The error of a request.
 * @returns Whether the server sent bytes that are no answer.
 */
export function isMalformedAnswer(error: Error & { readonly code?: string }): boolean {
    if (error.code === failedCheckCode) {
        return true;
    }
    return [
        errors.HTTPParserError,
        errors.HeadersOverflowError,
        errors.ResponseExceededMaxSizeError,
        UnboundedAnswerError,
    ].some((kind) => error instanceof kind);
}

/** Passes a response on, and aborts it when it exceeds a bound. */
export class BoundedHandler implements Dispatcher.DispatchHandler {
    private informationalHeads = 0;
    private hasHead = false;
    private bodyBytes = 0;
    private smallPieces = 0;
    private readBytesBefore = 0;
    private controller: Dispatcher.DispatchController | undefined;

    /**
     * @param handler - Receives the response.
     * @param countReadBytes - Counts the bytes that were read from the connection.
     */
    constructor(
        private readonly handler: Dispatcher.DispatchHandler,
        private readonly countReadBytes: () => number,
    ) {}

    onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
        this.readBytesBefore = this.countReadBytes();
        this.controller = controller;
        this.handler.onRequestStart?.(controller, context);
    }

    onResponseStart(
        controller: Dispatcher.DispatchController,
        status: number,
        headers: IncomingHttpHeaders,
        statusMessage?: string,
    ): void {
        this.informationalHeads += status < 200 ? 1 : 0;
        if (this.informationalHeads > maximumInformationalHeads) {
            controller.abort(new UnboundedAnswerError("heads"));
            return;
        }
        this.hasHead = status >= 200;
        this.handler.onResponseStart?.(controller, status, headers, statusMessage);
    }

    onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.bodyBytes += chunk.length;
        this.smallPieces += chunk.length < minimumPieceBytes ? 1 : 0;
        if (this.smallPieces > maximumSmallPieces) {
            controller.abort(new UnboundedAnswerError("pieces"));
            return;
        }
        this.handler.onResponseData?.(controller, chunk);
    }

    onResponseEnd(controller: Dispatcher.DispatchController, trailers: IncomingHttpHeaders): void {
        this.controller = undefined;
        this.handler.onResponseEnd?.(controller, trailers);
    }

    onResponseError(controller: Dispatcher.DispatchController, error: Error): void {
        this.controller = undefined;
        this.handler.onResponseError?.(controller, error);
    }

    /** @returns Number of bytes that may be parsed at once. */
    computeMaximumReadBytes(): number {
        return this.hasHead ? maximumBodyReadBytes : maximumHeadReadBytes;
    }

    /** Aborts a response whose framing exceeds its bound; called when bytes were read. */
    checkFraming(): void {
        const framingBytes = this.countReadBytes() - this.readBytesBefore - this.bodyBytes;
        if (framingBytes > maximumFramingBytes + framingPerBodyByte * this.bodyBytes) {
            this.controller?.abort(new UnboundedAnswerError("framing"));
        }
    }
}
