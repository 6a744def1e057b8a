/**
 * One attempt to run a request on one backend server.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Placement, PlacementOutcome, PlacementRequest } from "@pimentocleat/policy";
import type { Clock } from "@pimentocleat/types";
import { isOwnResponse, type BackendProtocol } from "../backends/backendProtocol.js";
import type { ServerNotice } from "../backends/serverNotice.js";
import type { AnswerHeaders, CallerAnswer } from "../callers/callerAnswer.js";
import type { ServerPath } from "../relaying/serverPaths.js";
import { AnswerBuffer } from "./answerBuffer.js";
import { AttemptNews, type AttemptNewsOptions } from "./attemptNews.js";
import type { AttemptResult, LostAttempt } from "./attemptResult.js";
import type { Exchange, ExchangeFailure } from "./backendExchange.js";
import { EventSplitter, type CompleteEvents } from "./eventSplitter.js";
import { isRepeatable } from "./gatewayRequest.js";
import type { HeldBytes } from "./heldBytes.js";
import { isEventStreamType, type StreamContinuity } from "./streamContinuity.js";
import { computeStallMs, StreamProgress } from "./streamProgress.js";

/** Options of an {@link Attempt}. */
export interface AttemptOptions extends AttemptNewsOptions {
    readonly clock: Clock;
    readonly placementRequest: PlacementRequest;
    readonly protocol: BackendProtocol;
    readonly path: ServerPath;
    readonly answer: CallerAnswer;
    /** Time until the caller's deadline, in milliseconds. */
    readonly remainingMs: number;
    /** The events that earlier attempts forwarded, and later ones must follow. */
    readonly continuity: StreamContinuity;
    /** Time without data after which the server is silent, in milliseconds; undefined when it is never taken for silent. */
    readonly inactivityTimeoutMs: number | undefined;
    /** Called after each inactivity timeout without data. */
    readonly onSilent: () => void;
    /** Called when the head of a stream arrives. */
    readonly onStreamHead: () => void;
    /** Called with the status before bytes are forwarded to the caller; returns false when the attempt is to end instead. */
    readonly tryForward: (status: number) => boolean;
    /** Called when the stream is ended because it makes no progress. */
    readonly onStalled: () => void;
    /** Called when the first data, or the end of an empty response, shows that the server runs the request. */
    readonly onRunning: () => void;
    /** Called with what the server says of itself in the head of its response. */
    readonly onNotice: (notice: ServerNotice) => void;
    /** Called before the first bytes of a response are forwarded to the caller. */
    readonly onForwarding: () => void;
    /** What the node holds of the responses of all requests. */
    readonly held: HeldBytes;
}

/** Minimum time between two events that is recorded as a pause, as a share of the stream's pause target. */
const minimumRecordedPauseShare = 0.3;

/** Sends a request to one server and forwards or buffers the response. */
export class Attempt {
    private readonly exchange: Exchange;
    private readonly placed: Placement;
    private readonly splitter = new EventSplitter();
    private resolve: (result: AttemptResult) => void = () => undefined;
    private status = 0;
    private headers: AnswerHeaders = {};
    private isStream = false;
    private readonly body: AnswerBuffer;
    private hasReceivedData = false;
    /** Monotonic time of the first data, in milliseconds. */
    private firstDataMs: number | undefined;
    /** Monotonic time of the last data of a stream, in milliseconds. */
    private lastDataMs = Number.POSITIVE_INFINITY;
    private hasForwardedBytes = false;
    /** Whether the response has to continue a stream after an event that is known. */
    private readonly isContinuation: boolean;
    /** Whether an earlier attempt began the response to the caller. */
    private readonly isStartedBefore: boolean;
    /** Whether an event with data has arrived that continues the stream. */
    private hasContinued = false;
    private hasEnded = false;
    private inactivityTimer: NodeJS.Timeout | undefined;
    private readonly progress: StreamProgress;
    private readonly news: AttemptNews;

    /** @param options - The request, the server and the response to the caller. */
    constructor(private readonly options: AttemptOptions) {
        const { request, server, placement, placementRequest, protocol, path: serverPath } = options;
        this.isContinuation = options.continuity.isContinued();
        this.isStartedBefore = options.answer.isStarted;
        this.progress = new StreamProgress(computeStallMs(request.route), () => this.abortStalled());
        this.body = new AnswerBuffer(options.held);
        this.news = new AttemptNews(options);
        this.placed = placement.recordDispatch(server.id, placementRequest);
        const { head, body } = request;
        const headers = protocol.buildHeaders({
            request,
            serverId: server.id,
            remainingMs: options.remainingMs,
            lastEventId: options.continuity.lastEventId,
        });
        const { method, path } = head;
        this.exchange = serverPath.openExchange(
            { requestId: head.requestId, method, path, headers, body },
            {
                onHead: (status, answerHeaders) => this.handleHead(status, answerHeaders),
                onData: (chunk) => this.handleData(chunk),
                onEnd: () => this.handleEnd(),
                onFailure: (failure) => this.handleFailure(failure),
            },
        );
    }

    /**
     * Sends the request.
     *
     * @returns The outcome of the attempt.
     */
    run(): Promise<AttemptResult> {
        return new Promise((resolve) => {
            this.resolve = resolve;
            this.startInactivityTimer();
            this.news.reportDispatch(this.placed);
            this.exchange.start();
        });
    }

    /** Whether a byte of the request may have reached the server. */
    hasSentBytes(): boolean {
        return this.exchange.hasSentBytes();
    }

    /** @returns Whether the request goes over a connection that was opened before; only valid before it is sent. */
    isOnKeptConnection(): boolean {
        return this.exchange.isOnKeptConnection();
    }

    /** @returns Whether the attempt has not ended. */
    isRunning(): boolean {
        return !this.hasEnded;
    }

    /** Ends the attempt because its server is silent and the request goes on elsewhere. */
    abortSilent(): void {
        this.abortExchange({ type: "silent" }, "broken");
    }

    /** Cancels the attempt because the caller disconnected, the deadline passed or another attempt keeps the caller. */
    cancel(): void {
        if (!this.hasEnded) {
            this.exchange.cancel();
            this.finish({ type: "cancelled" }, "cancelled");
        }
    }

    private handleHead(status: number, headers: IncomingHttpHeaders): void {
        const { protocol, request, placement, server } = this.options;
        const meaning = protocol.selectMeaning(status, headers, request);
        if (isOwnResponse(meaning)) {
            const load = protocol.readLoad(headers);
            if (load !== undefined) {
                placement.recordLoad(server.id, load.running, load.waiting, load.pace);
            }
            this.options.onNotice(protocol.readNotice(status, headers));
        }
        switch (meaning) {
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
                this.abortUnfit(`status ${String(status)} that does not fit the request`);
                return;
            case "unconfirmedRefusal":
                if (!isRepeatable(request)) {
                    this.abortUnconfirmed(status);
                    return;
                }
                break;
            case "answer":
                break;
        }
        this.status = status;
        this.headers = protocol.selectAnswerHeaders(headers);
        this.isStream = request.route.kind === "stream" && status === 200;
        if (!this.isStream && this.isStartedBefore) {
            // Its body must not be read: a large one would be forwarded into the stream.
            this.abortExchange(this.buildAnswer(), selectOutcome(status));
            return;
        }
        if (this.isStream && this.isContinuation && !isEventStreamType(headers["content-type"])) {
            this.abortUnfit("the resumed stream has another content type");
            return;
        }
        if (this.isStream) {
            this.options.onStreamHead();
        }
        this.startInactivityTimer();
    }

    /** Ends an attempt whose response would make the caller send a request again that may have run. */
    private abortUnconfirmed(status: number): void {
        this.recordRunning();
        const reason = `status ${String(status)}, which does not say whether the request ran`;
        this.abortLost(reason, "failedStatus");
    }

    private handleData(chunk: Buffer): void {
        this.recordRunning();
        this.startInactivityTimer();
        if (this.isStream) {
            this.recordPause();
            const events = this.splitter.takeEvents(chunk);
            const hasRoom = this.body.hasRoom(this.splitter.countIncompleteBytes());
            if (this.splitter.isUnbounded() || !hasRoom) {
                this.abortUnfit("the server sent bytes without an event");
                return;
            }
            if (events !== undefined) {
                this.handleEvents(events);
            }
            return;
        }
        const isTooLarge = this.body.addChunk(chunk);
        if ((this.hasForwardedBytes || isTooLarge) && this.tryForward()) {
            this.forwardBytes(this.body.takeBytes());
        }
    }

    private handleEvents(events: CompleteEvents): void {
        const { continuity, request } = this.options;
        const fault = this.isContinuation ? this.findFault(events) : undefined;
        if (fault !== undefined) {
            this.abortUnfit(fault);
            return;
        }
        const isContinuing = events.hasData || this.hasContinued || !this.isStartedBefore;
        if (!isContinuing || !this.tryForward()) {
            return;
        }
        if (request.route.isResumable) {
            continuity.recordEvents(events);
        }
        if (events.hasData) {
            this.hasContinued = true;
            this.progress.recordEvent();
        }
        this.forwardBytes(events.bytes);
    }

    private findFault(events: CompleteEvents): string | undefined {
        const { continuity } = this.options;
        return (
            continuity.findLineFault(events) ??
            (this.hasContinued ? undefined : continuity.findFirstEventFault(events))
        );
    }

    /** Ends an attempt because what the server sent is no answer to the request, or no continuation of the stream. */
    private abortUnfit(reason: string): void {
        this.abortLost(reason, "broken");
    }

    /** Ends an attempt whose server is not lost, although its response is of no use. */
    private abortLost(reason: string, outcome: PlacementOutcome): void {
        const result: LostAttempt = {
            type: "lost",
            reason,
            streamed: this.hasForwardedBytes,
            isServerLost: false,
            runningMs: this.computeRunningMs(),
        };
        this.abortExchange(result, outcome);
    }

    /** Records the time since the last event. Pauses far below the target don't matter to any stream like it. */
    private recordPause(): void {
        const nowMs = this.options.clock.monotonicMs();
        const pauseMs = nowMs - this.lastDataMs;
        this.lastDataMs = nowMs;
        const { placement, request } = this.options;
        if (
            pauseMs >=
            minimumRecordedPauseShare * (request.route.pauseTargetMs ?? Number.POSITIVE_INFINITY)
        ) {
            placement.recordPause(this.placed, pauseMs);
        }
    }

    private tryForward(): boolean {
        const isAllowed = this.options.tryForward(this.status);
        if (!isAllowed) {
            // Another attempt keeps the caller.
            this.abortLost(`status ${String(this.status)}`, selectOutcome(this.status));
        }
        return isAllowed;
    }

    private forwardBytes(bytes: Buffer): void {
        const { answer } = this.options;
        if (!this.hasForwardedBytes) {
            this.options.onForwarding();
        }
        answer.startStream(this.status, this.headers);
        this.hasForwardedBytes = true;
        if (!answer.writeBytes(bytes)) {
            // A server cannot send while its bytes are not read: the silence is not its own.
            clearTimeout(this.inactivityTimer);
            this.progress.stop();
            this.exchange.stopReading();
            answer.onWritable(() => this.startReading());
        }
    }

    private startReading(): void {
        if (!this.hasEnded) {
            this.startInactivityTimer();
            this.progress.start();
            this.exchange.startReading();
        }
    }

    private abortStalled(): void {
        if (!this.hasEnded) {
            this.options.onStalled();
            this.abortSilent();
        }
    }

    private handleEnd(): void {
        if (this.isStream && this.splitter.countIncompleteBytes() > 0) {
            this.finish(
                {
                    type: "lost",
                    reason: "the stream ended within an event",
                    streamed: this.hasForwardedBytes,
                    isServerLost: true,
                    runningMs: this.computeRunningMs(),
                },
                "broken",
            );
            return;
        }
        this.recordRunning();
        const hasNoRest = this.isStartedBefore && !this.hasContinued;
        if (this.hasForwardedBytes && !hasNoRest) {
            this.forwardBytes(this.body.takeBytes());
            this.options.answer.finishStream();
            this.finish({ type: "streamed" }, "answered");
            return;
        }
        this.finish(this.buildAnswer(), selectOutcome(this.status));
    }

    private buildAnswer(): AttemptResult {
        const answer = { status: this.status, headers: this.headers, body: this.body.takeBytes() };
        return { type: "answer", answer };
    }

    private handleFailure({ message, sent, isServerLost, obstacle }: ExchangeFailure): void {
        const result: AttemptResult = sent
            ? {
                  type: "lost",
                  reason: message,
                  streamed: this.hasForwardedBytes,
                  isServerLost,
                  runningMs: this.computeRunningMs(),
              }
            : { type: "notSent", reason: message, obstacle };
        const isServerFault = obstacle === undefined || obstacle === "server";
        this.finish(result, isServerFault ? "broken" : "cancelled");
    }

    private computeRunningMs(): number | undefined {
        return this.firstDataMs === undefined
            ? undefined
            : this.options.clock.monotonicMs() - this.firstDataMs;
    }

    private recordRunning(): void {
        if (!this.hasReceivedData) {
            this.hasReceivedData = true;
            this.firstDataMs = this.options.clock.monotonicMs();
            this.options.placement.recordFirstEvent(this.placed);
            this.options.onRunning();
            this.news.reportFirstEvent();
        }
    }

    private startInactivityTimer(): void {
        clearTimeout(this.inactivityTimer);
        const { inactivityTimeoutMs } = this.options;
        if (inactivityTimeoutMs !== undefined) {
            this.inactivityTimer = setTimeout(() => this.handleInactivity(), inactivityTimeoutMs);
        }
    }

    private handleInactivity(): void {
        // A response that is no stream can't go on elsewhere once a part of it was forwarded.
        if (this.isStream || !this.hasForwardedBytes) {
            this.options.onSilent();
        }
        if (!this.hasEnded) {
            this.startInactivityTimer();
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
        this.progress.stop();
        this.body.clear();
        this.news.reportEnd();
        this.options.placement.recordEnd(this.placed, outcome);
        this.resolve(result);
    }
}

function selectOutcome(status: number): PlacementOutcome {
    return status >= 500 ? "failedStatus" : "answered";
}
