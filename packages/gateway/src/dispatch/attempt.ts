/**
 * One send of a request to one backend server, up to its result.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Placement, PlacementOutcome, PlacementRequest, ServerPlacement } from "@pimentocleat/policy";
import type { ConnectionPool } from "@pimentocleat/upstream";
import type { BackendProtocol } from "../backends/backendProtocol.js";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { AnswerHeaders, CallerAnswer } from "../callers/callerAnswer.js";
import type { DispatchAnnouncer } from "../peers/peerMessenger.js";
import { BackendExchange } from "./backendExchange.js";
import { EventSplitter } from "./eventSplitter.js";
import type { GatewayRequest } from "./gatewayRequest.js";

/** A whole answer of a backend server. */
export interface CompleteBackendAnswer {
    readonly status: number;
    readonly headers: AnswerHeaders;
    readonly body: Buffer;
}

/** How an attempt ended. */
export type AttemptResult =
    /** A whole answer, not yet passed on. */
    | { readonly type: "answer"; readonly answer: CompleteBackendAnswer }
    /** A stream that was passed on to its end. */
    | { readonly type: "streamed" }
    /** The server said that it did not run the request. */
    | { readonly type: "notRun"; readonly reason: string }
    /** No byte reached a server. */
    | { readonly type: "notSent"; readonly reason: string }
    /** The request may have run. */
    | { readonly type: "lost"; readonly reason: string; readonly streamed: boolean }
    /** The server was silent for too long. */
    | { readonly type: "silent"; readonly streamed: boolean }
    /** The caller left, or the request's time is over. */
    | { readonly type: "cancelled" };

/** Options of an {@link Attempt}. */
export interface AttemptOptions {
    readonly request: GatewayRequest;
    readonly server: RegisteredServer;
    readonly placement: ServerPlacement;
    readonly placementRequest: PlacementRequest;
    readonly protocol: BackendProtocol;
    readonly connections: ConnectionPool;
    readonly answer: CallerAnswer;
    readonly remainingMs: number;
    /** Identifier of the last event that was passed on before. */
    readonly lastEventId: string | undefined;
    /** Silence after which the attempt ends; undefined when silence is no reason to end it. */
    readonly inactivityTimeoutMs: number | undefined;
    /** Called when the server began to run the request. */
    readonly onRunning: () => void;
    /** Tells the other nodes of the send. */
    readonly announcer: DispatchAnnouncer;
}

/** Answers larger than this are passed on as they come; smaller ones are checked whole first. */
const maximumBufferedBytes = 256 * 1_024;

/** Sends a request once. */
export class Attempt {
    /** Identifier of the last event that was passed on. */
    lastEventId: string | undefined;
    private readonly exchange: BackendExchange;
    private readonly placed: Placement;
    private readonly splitter = new EventSplitter();
    private resolve: (result: AttemptResult) => void = () => undefined;
    private status = 0;
    private headers: AnswerHeaders = {};
    private isStream = false;
    private chunks: Buffer[] = [];
    private bytes = 0;
    private hasReceivedData = false;
    private hasForwardedBytes = false;
    private hasEnded = false;
    private announcedId: string | undefined;
    private inactivityTimer: NodeJS.Timeout | undefined;

    /** @param options - The request, the server and the caller. */
    constructor(private readonly options: AttemptOptions) {
        const { request, server, placement, placementRequest, protocol, connections } = options;
        this.lastEventId = options.lastEventId;
        this.placed = placement.recordDispatch(server.id, placementRequest);
        const { head, body } = request;
        const headers = protocol.buildHeaders({
            request,
            serverId: server.id,
            remainingMs: options.remainingMs,
            lastEventId: options.lastEventId,
        });
        const { method, path } = head;
        this.exchange = new BackendExchange(
            { connections, address: server.address, method, path, headers, body },
            {
                onHead: (status, answerHeaders) => this.handleHead(status, answerHeaders),
                onData: (chunk) => this.handleData(chunk),
                onEnd: () => this.handleEnd(),
                onFailure: (message, sent) => this.handleFailure(message, sent),
            },
        );
    }

    /**
     * Sends the request.
     *
     * @returns How the attempt ended; resolves once.
     */
    run(): Promise<AttemptResult> {
        return new Promise((resolve) => {
            this.resolve = resolve;
            this.startInactivityTimer();
            this.spreadSend();
            this.exchange.start();
        });
    }

    /** Whether a byte of the request may have reached the server. */
    hasSentBytes(): boolean {
        return this.exchange.hasSentBytes();
    }

    /** Ends the attempt because the caller left or its time is over. */
    cancel(): void {
        if (!this.hasEnded) {
            this.exchange.cancel();
            this.finish({ type: "cancelled" }, "cancelled");
        }
    }

    private handleHead(status: number, headers: IncomingHttpHeaders): void {
        const { protocol, request, placement, server } = this.options;
        const load = protocol.readLoad(headers);
        if (load !== undefined) {
            placement.recordLoad(server.id, load.running, load.waiting);
        }
        switch (protocol.selectMeaning(status, headers, request)) {
            case "notRun":
                this.abortExchange(
                    { type: "notRun", reason: `status ${String(status)}, not run` },
                    "rejected",
                );
                return;
            case "otherServer":
                this.abortExchange({ type: "notRun", reason: "another server has the address" }, "broken");
                return;
            case "mismatched":
                this.abortExchange(
                    {
                        type: "lost",
                        reason: `status ${String(status)} that does not fit the request`,
                        streamed: this.hasForwardedBytes,
                    },
                    "broken",
                );
                return;
            case "answer":
                break;
        }
        this.status = status;
        this.headers = protocol.selectAnswerHeaders(headers);
        this.isStream = request.route.kind === "stream" && status === 200;
        this.startInactivityTimer();
    }

    private handleData(chunk: Buffer): void {
        this.recordRunning();
        this.startInactivityTimer();
        if (this.isStream) {
            const events = this.splitter.takeEvents(chunk);
            if (events !== undefined) {
                this.lastEventId = events.lastId ?? this.lastEventId;
                this.forwardBytes(events.bytes);
            }
            return;
        }
        this.chunks.push(chunk);
        this.bytes += chunk.length;
        if (this.bytes > maximumBufferedBytes) {
            const bytes = Buffer.concat(this.chunks.splice(0));
            this.forwardBytes(bytes);
        }
    }

    private forwardBytes(bytes: Buffer): void {
        const { answer } = this.options;
        answer.startStream(this.status, this.headers);
        this.hasForwardedBytes = true;
        if (!answer.writeBytes(bytes)) {
            this.exchange.stopReading();
            answer.onWritable(() => this.exchange.startReading());
        }
    }

    private handleEnd(): void {
        if (this.isStream && this.splitter.countIncompleteBytes() > 0) {
            this.finish(
                {
                    type: "lost",
                    reason: "the stream ended within an event",
                    streamed: this.hasForwardedBytes,
                },
                "broken",
            );
            return;
        }
        this.recordRunning();
        if (this.hasForwardedBytes) {
            this.forwardBytes(Buffer.concat(this.chunks));
            this.options.answer.finishStream();
            this.finish({ type: "streamed" }, "answered");
            return;
        }
        const answer = { status: this.status, headers: this.headers, body: Buffer.concat(this.chunks) };
        this.finish({ type: "answer", answer }, this.status >= 500 ? "failedStatus" : "answered");
    }

    private handleFailure(message: string, sent: boolean): void {
        const result: AttemptResult = sent
            ? { type: "lost", reason: message, streamed: this.hasForwardedBytes }
            : { type: "notSent", reason: message };
        this.finish(result, "broken");
    }

    private recordRunning(): void {
        if (!this.hasReceivedData) {
            this.hasReceivedData = true;
            this.options.placement.recordFirstEvent(this.placed);
            this.options.onRunning();
            this.spreadStart();
        }
    }

    /** Plain services have no prompts of which others should know. */
    private spreadSend(): void {
        const { announcer, request, server } = this.options;
        const { parts, promptTokens } = request.head;
        if (promptTokens > 0) {
            this.announcedId = announcer.reportDispatch({
                service: request.service,
                serverId: server.id,
                tokens: this.placed.uncachedTokens,
                pauseTargetMs: request.route.pauseTargetMs,
                shared: parts.slice(0, -1),
            });
        }
    }

    private spreadStart(): void {
        if (this.announcedId !== undefined) {
            this.options.announcer.reportFirstEvent(this.options.request.service, this.announcedId);
        }
    }

    private spreadEnd(): void {
        if (this.announcedId !== undefined) {
            this.options.announcer.reportEnd(this.options.request.service, this.announcedId);
        }
    }

    private startInactivityTimer(): void {
        clearTimeout(this.inactivityTimer);
        const { inactivityTimeoutMs: silenceMs } = this.options;
        if (silenceMs !== undefined) {
            this.inactivityTimer = setTimeout(
                () => this.abortExchange({ type: "silent", streamed: this.hasForwardedBytes }, "broken"),
                silenceMs,
            );
        }
    }

    private abortExchange(result: AttemptResult, outcome: PlacementOutcome): void {
        if (!this.hasEnded) {
            this.exchange.cancel();
            this.finish(result, outcome);
        }
    }

    private finish(result: AttemptResult, outcome: PlacementOutcome): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        clearTimeout(this.inactivityTimer);
        this.spreadEnd();
        this.options.placement.recordEnd(this.placed, outcome);
        this.resolve(result);
    }
}
