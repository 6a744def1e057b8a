/**
 * Collects the response to one HTTP call and records whether the call may have left the process.
 *
 * @packageDocumentation
 */
import { ByteCollector } from "@pimentocleat/types";
import type { Dispatcher } from "undici";

type DispatchHandler = Dispatcher.DispatchHandler;
type DispatchController = Dispatcher.DispatchController;
type AnswerHeaders = Record<string, string | string[] | undefined>;
type ResponseStart = [controller: DispatchController, status: number, headers: AnswerHeaders];

/** A complete response. */
export interface CollectedAnswer {
    readonly status: number;
    readonly headers: AnswerHeaders;
    readonly body: Buffer;
}

/** The error of a call that ended without a complete response. */
export class CallFailure extends Error {
    /**
     * @param sent - Whether a byte of the call may have left the process.
     * @param message - What happened.
     * @param cause - The underlying failure.
     */
    constructor(
        readonly sent: boolean,
        message: string,
        cause?: unknown,
    ) {
        super(message, { cause });
        this.name = "CallFailure";
    }
}

/** Handles the dispatch of one call. A call that is cancelled before it is sent is never sent later. */
export class AnswerCollector implements DispatchHandler {
    private readonly body = new ByteCollector();
    private sent = false;
    private status = 0;
    private headers: AnswerHeaders = {};
    private controller: DispatchController | undefined;
    private cancelReason: CallFailure | undefined;

    /**
     * @param finish - Receives the complete response.
     * @param fail - Receives the error.
     * @param isSendAllowed - Called in the tick in which the first byte would be sent; if it returns false, nothing is
     * sent.
     */
    constructor(
        private readonly finish: (answer: CollectedAnswer) => void,
        private readonly fail: (error: CallFailure) => void,
        private readonly isSendAllowed: () => boolean = () => true,
    ) {}

    /**
     * Fails the call and destroys its connection.
     *
     * @param message - The reason.
     */
    cancel(message: string): void {
        const error = new CallFailure(this.sent, message);
        this.cancelReason = error;
        this.controller?.abort(error);
        this.fail(error);
    }

    onRequestStart(controller: DispatchController): void {
        if (this.cancelReason !== undefined) {
            controller.abort(this.cancelReason);
            return;
        }
        if (!this.isSendAllowed()) {
            controller.abort(new CallFailure(false, "the send is no longer allowed"));
            return;
        }
        this.sent = true;
        this.controller = controller;
    }

    onResponseStart(...[, status, headers]: ResponseStart): void {
        this.status = status;
        this.headers = headers;
    }

    onResponseData(...[, chunk]: [DispatchController, Buffer]): void {
        this.body.append(chunk);
    }

    onResponseEnd(): void {
        this.finish({ status: this.status, headers: this.headers, body: this.body.takeBytes() });
    }

    onResponseError(...[, error]: [DispatchController, Error]): void {
        this.fail(new CallFailure(this.sent, error.message, error));
    }
}
