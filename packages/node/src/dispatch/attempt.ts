/**
 * Runs one attempt of a request on one backend server.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import type { CancelReason } from "@pimentocleat/policy";
import { AnswerCollector } from "../upstream/answerCollector.js";
import type { AttemptFailure } from "../upstream/attemptFailure.js";
import type { ConnectionPool } from "@pimentocleat/upstream";
import { Exchange, type ExchangeReceiver, type ExchangeRequest } from "../upstream/exchange.js";
import { hasContentEncoding } from "../upstream/forwardingFilter.js";
import type { CallerStream } from "../streams/callerStream.js";
import type { StreamRelay } from "../streams/streamRelay.js";
import type { RunningRequestListener } from "./poolTaskOptions.js";
import type { CompleteAnswer } from "./routedRequest.js";

/** The result of an attempt. */
export type AttemptResult =
    | { readonly type: "answered"; readonly answer: CompleteAnswer; readonly parsedBody: unknown }
    | { readonly type: "streamed" }
    | {
          readonly type: "failed";
          readonly failure: AttemptFailure;
          /** Reason for the cancellation when this node cancelled the request. */
          readonly cancelReason?: CancelReason;
          /** Whether the attempt was stopped so that the request continues on another server. */
          readonly moved: boolean;
      };

/** The stream that an attempt relays to. */
export interface AttemptStream {
    readonly relay: StreamRelay;
    readonly caller: CallerStream;
}

/** Options of an {@link Attempt}. */
export interface AttemptOptions {
    readonly request: ExchangeRequest;
    readonly connections: ConnectionPool;
    readonly maximumAnswerBytes: number;
    /** Undefined when the caller did not request a stream. */
    readonly stream: AttemptStream | undefined;
    /** Whether to continue after a cancellation, because the request can't be repeated. */
    readonly uncancellable: boolean;
    /** Whether a stream that has started can continue on another server. */
    readonly resumable: boolean;
}

/** Runs one attempt and relays its response. */
export class Attempt implements ExchangeReceiver, RunningRequestListener {
    private readonly collector: AnswerCollector;
    private readonly exchange: Exchange;
    private isStreaming = false;
    private cancelReason: CancelReason | undefined;
    private moved = false;
    private reservedServer: string | undefined;
    private resolve: (result: AttemptResult) => void = () => {};

    /** @param options - The request to send and the destination of its response. */
    constructor(private readonly options: AttemptOptions) {
        this.collector = new AnswerCollector(options.maximumAnswerBytes);
        this.exchange = new Exchange(options.request, this, options.connections);
    }

    /**
     * Runs the attempt; must be called once.
     *
     * @returns A promise that resolves with the result and never rejects.
     */
    run(): Promise<AttemptResult> {
        return new Promise((resolve) => {
            this.resolve = resolve;
            this.options.stream?.relay.startAttempt();
            this.options.stream?.caller.setListener({ onDrain: () => this.exchange.startReading() });
            this.exchange.start();
        });
    }

    onCancel(reason: CancelReason): void {
        if (this.options.uncancellable) {
            return;
        }
        this.cancelReason = reason;
        this.exchange.cancel(reason);
    }

    onMove(server: string): void {
        this.reservedServer = server;
        const hasStreamedTokens = (this.options.stream?.relay.streamedTokens ?? 0) > 0;
        if (this.options.uncancellable || (hasStreamedTokens && !this.options.resumable)) {
            return;
        }
        this.moved = true;
        this.exchange.cancel("moved to another server");
    }

    /** Server on which the scheduler reserved a slot when it decided to move the request. */
    get moveTarget(): string | undefined {
        return this.reservedServer;
    }

    onHead(status: number, headers: IncomingHttpHeaders): string | undefined {
        if (hasContentEncoding(headers)) {
            return "the answer has an encoding that nobody asked for";
        }
        const isEventStream = headers["content-type"]?.startsWith("text/event-stream") ?? false;
        this.isStreaming = this.options.stream !== undefined && status === 200 && isEventStream;
        return this.isStreaming ? undefined : this.collector.setHead(status, headers);
    }

    onData(chunk: Buffer): string | undefined {
        const { stream } = this.options;
        if (!this.isStreaming || stream === undefined) {
            return this.collector.addChunk(chunk);
        }
        if (!stream.relay.addChunk(chunk)) {
            this.exchange.stopReading();
        }
        return stream.relay.findFault();
    }

    onEnd(): string | undefined {
        const { stream } = this.options;
        if (this.isStreaming && stream !== undefined) {
            return this.finishStream(stream);
        }
        if (stream?.caller.started) {
            return "the engine answered a resumed stream without a stream";
        }
        const fault = this.collector.checkBody();
        if (fault === undefined) {
            const { parsedBody } = this.collector;
            this.resolve({ type: "answered", answer: this.collector.buildAnswer(), parsedBody });
        }
        return fault;
    }

    onFailure(failure: AttemptFailure): void {
        const { stream } = this.options;
        stream?.caller.setListener(undefined);
        const isStoppedByNode = this.cancelReason !== undefined || this.moved;
        if (
            !isStoppedByNode &&
            this.isStreaming &&
            stream !== undefined &&
            this.finishStream(stream) === undefined
        ) {
            return;
        }
        this.resolve({ type: "failed", failure, cancelReason: this.cancelReason, moved: this.moved });
    }

    private finishStream(stream: AttemptStream): string | undefined {
        const fault = stream.relay.finishAttempt();
        if (fault === undefined) {
            this.resolve({ type: "streamed" });
        }
        return fault;
    }
}
