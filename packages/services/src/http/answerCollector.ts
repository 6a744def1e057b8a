/**
 * Collects the answer to one HTTP call and notes whether the call could have left the process.
 *
 * @packageDocumentation
 */
import type { Dispatcher } from "undici";

type DispatchHandler = Dispatcher.DispatchHandler;
type DispatchController = Dispatcher.DispatchController;
type AnswerHeaders = Record<string, string | string[] | undefined>;
type ResponseStart = [controller: DispatchController, status: number, headers: AnswerHeaders];

/** A whole answer. */
export interface CollectedAnswer {
    readonly status: number;
    readonly headers: AnswerHeaders;
    readonly body: Buffer;
}

/** A call without a whole answer. */
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

/** Handler of one dispatch. A call that was cancelled before it was sent is never sent afterwards. */
export class AnswerCollector implements DispatchHandler {
    private readonly chunks: Buffer[] = [];
    private sent = false;
    private status = 0;
    private headers: AnswerHeaders = {};
    private controller: DispatchController | undefined;
    private cancelReason: CallFailure | undefined;

    /**
     * @param finish - Receives the whole answer.
     * @param fail - Receives the failure.
     * @param isSendAllowed - Asked in the tick in which the first byte would leave.
     */
    constructor(
        private readonly finish: (answer: CollectedAnswer) => void,
        private readonly fail: (failure: CallFailure) => void,
        private readonly isSendAllowed: () => boolean = () => true,
    ) {}

    /**
     * Ends the call and destroys its connection.
     *
     * @param message - Why.
     */
    cancel(message: string): void {
        const failure = new CallFailure(this.sent, message);
        this.cancelReason = failure;
        this.controller?.abort(failure);
        this.fail(failure);
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
        this.chunks.push(chunk);
    }

    onResponseEnd(): void {
        this.finish({ status: this.status, headers: this.headers, body: Buffer.concat(this.chunks) });
    }

    onResponseError(...[, error]: [DispatchController, Error]): void {
        this.fail(new CallFailure(this.sent, error.message, error));
    }
}
