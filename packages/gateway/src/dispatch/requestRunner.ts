/**
 * Runs a request: chooses a server, sends the request, and retries it only where a retry is allowed.
 *
 * @packageDocumentation
 */
import type { OverloadControl, RelayObstacle } from "@pimentocleat/policy";
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import { computeTimerMs, type Clock } from "@pimentocleat/types";
import type { BackendProtocol } from "../backends/backendProtocol.js";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { BrittleDirectory } from "../backends/brittleDirectory.js";
import type { ServerNotices } from "../backends/serverNotices.js";
import type { CallerAnswer } from "../callers/callerAnswer.js";
import type { DispatchAnnouncer } from "../peers/dispatchNews.js";
import type { NamedPeer } from "../peers/peerDirectory.js";
import type { ServerPaths } from "../relaying/serverPaths.js";
import { Attempt, type AttemptResult, type CompleteBackendAnswer } from "./attempt.js";
import type { AdmissionQueue } from "./admissionQueue.js";
import { isRepeatable, type GatewayRequest } from "./gatewayRequest.js";
import { HeldBytes, maximumHeldAnswerBytes } from "./heldBytes.js";
import type { RequestGuard } from "./requestGuard.js";
import { RetryDecision } from "./retryDecision.js";
import {
    buildDrainingError,
    buildRunState,
    buildUnservedError,
    minimumRemainingMs,
    selectStatusTag,
    type RunState,
} from "./runState.js";
import type { ServerSelection } from "./serverSelection.js";
import type { ServiceDispatchRegistry } from "./serviceDispatch.js";
import type { StreamResumption } from "./streamResumption.js";

/** Counts the requests that backend servers started to run. */
export interface UsageCounter {
    /** @param customer - Name of the customer. */
    recordRequest(customer: string): void;
}

/** Options of a {@link RequestRunner}. */
export interface RequestRunnerOptions {
    readonly dispatches: ServiceDispatchRegistry;
    readonly paths: ServerPaths;
    readonly protocol: BackendProtocol;
    readonly usage: UsageCounter;
    readonly announcer: DispatchAnnouncer;
    readonly resumption: StreamResumption;
    readonly guard: RequestGuard;
    readonly notices: ServerNotices;
    readonly brittle: BrittleDirectory;
    readonly selection: ServerSelection;
    readonly admissions: AdmissionQueue;
    readonly control: OverloadControl;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Maximum number of attempts per request that fail before any byte is sent. */
const maximumConnectFailures = 4;
/** Inactivity timeout of a repeatable request, as a multiple of the route's latency target. */
const inactivityFactor = 1.6;
/** Minimum inactivity timeout, in milliseconds; response times of healthy servers vary by this much. */
const minimumInactivityMs = 300;

/** Runs requests and retries failed attempts. */
export class RequestRunner {
    private readonly retries: RetryDecision;
    private readonly running = new Set<RunState>();
    private readonly held = new HeldBytes(maximumHeldAnswerBytes);
    private isStopped = false;

    /** @param options - Servers, protocol, clock and recorders. */
    constructor(private readonly options: RequestRunnerOptions) {
        this.retries = new RetryDecision(options);
    }

    /**
     * Runs a request to its end.
     *
     * @param request - The request.
     * @param answer - The response to its caller.
     * @throws RouterError when no backend server responded and no response to the caller was started.
     */
    async runRequest(request: GatewayRequest, answer: CallerAnswer): Promise<void> {
        const resumed = await this.options.resumption.resolveRequest(request);
        if (answer.isDisconnected) {
            return;
        }
        const runnable = resumed?.request ?? request;
        const dispatch = this.options.dispatches.ensureService(runnable.service);
        const state = buildRunState({
            request: runnable,
            answer,
            dispatch,
            streamOrigin: resumed?.origin,
            isVersionKnown: (server) => this.options.resumption.isVersionKnown(server),
        });
        const timer = setTimeout(
            () => this.cancelRun(state),
            computeTimerMs(request.deadlineMs - this.readNowMs()),
        );
        answer.setDisconnectListener(() => this.cancelRun(state));
        this.running.add(state);
        state.isCancelled = this.isStopped;
        try {
            await this.runAttempts(state);
        } finally {
            this.running.delete(state);
            clearTimeout(timer);
            answer.setDisconnectListener(undefined);
        }
    }

    /** Ends all requests, those that wait as not run. The node does not wait for servers any longer and closes its connections. */
    stop(): void {
        this.isStopped = true;
        this.running.forEach((state) => this.cancelRun(state));
    }

    private cancelRun(state: RunState): void {
        state.isCancelled = true;
        if (state.currentAttempt?.hasSentBytes() === true) {
            state.mayHaveRun = true;
        }
        state.currentAttempt?.cancel();
        state.cancelWait?.();
    }

    private async runAttempts(state: RunState): Promise<void> {
        for (;;) {
            if (!(await this.waitForAdmission(state))) {
                if (state.failedAnswer !== undefined) {
                    this.retries.recordObstacle(state, undefined, "admission");
                }
                this.finishWithoutAnswer(state, false);
                return;
            }
            const server = await this.options.selection.chooseServer(state);
            if (server === undefined) {
                if (state.failedAnswer !== undefined) {
                    this.retries.recordObstacle(state, undefined, "noServer");
                }
                this.finishWithoutAnswer(state, true);
                return;
            }
            try {
                if (await this.runOn(state, server)) {
                    return;
                }
            } finally {
                this.options.selection.releaseServer(server);
                this.options.admissions.recordChange();
            }
        }
    }

    /** Returns whether the next attempt may start. */
    private async waitForAdmission(state: RunState): Promise<boolean> {
        if (state.isAdmitted) {
            return true;
        }
        const result = await this.options.admissions.waitForStart(state);
        state.isAdmitted = result.type === "admitted";
        state.returnMs = result.type === "refused" ? result.returnMs : undefined;
        return state.isAdmitted;
    }

    /** Returns whether the request is finished; otherwise another attempt follows. */
    private async runOn(state: RunState, server: RegisteredServer): Promise<boolean> {
        const remainingMs = state.request.deadlineMs - this.readNowMs();
        if (state.isCancelled || remainingMs < minimumRemainingMs) {
            return this.finishWithoutAnswer(state, false);
        }
        state.harmfulCause = this.options.guard.findHarmfulCause(state.request, state.attemptCount === 0);
        if (state.harmfulCause !== undefined) {
            return this.finishWithoutAnswer(state, false);
        }
        const result = await this.runAttempt(state, server, remainingMs);
        return this.handleResult(state, server, result);
    }

    private async runAttempt(
        state: RunState,
        server: RegisteredServer,
        remainingMs: number,
    ): Promise<AttemptResult> {
        const { request, answer, dispatch, excluded } = state;
        const { protocol, paths, logger } = this.options;
        const { parts, promptTokens, requestId } = request.head;
        if (state.attemptCount === 0) {
            dispatch.retries.recordFirstAttempt(this.readNowMs());
        }
        const sentMs = this.readNowMs();
        const path = paths.choosePath(server, state.relaySearch);
        state.relay = path.relay;
        state.currentAttempt = new Attempt({
            request,
            server,
            placement: dispatch.placement,
            clock: this.options.clock,
            placementRequest: { parts, promptTokens, pauseTargetMs: request.route.pauseTargetMs, excluded },
            protocol,
            path,
            answer,
            remainingMs,
            continuity: state.continuity,
            inactivityTimeoutMs: this.computeInactivityTimeoutMs(state, remainingMs),
            hasAlternative: () => this.hasAlternative(state, server),
            onStalled: () =>
                logger.writeEvent("streamStalled", {
                    requestId,
                    server: server.id,
                    route: request.route.name,
                }),
            onRunning: () => this.recordRunning(state),
            onNotice: (notice) => {
                this.options.resumption.recordContact(server);
                this.options.notices.recordNotice(server, notice, sentMs);
            },
            onForwarding: () => this.options.resumption.recordOrigin(state, server),
            held: this.held,
            announcer: this.options.announcer,
            isAnnounced: promptTokens > 0 || this.options.brittle.findAllowed(server) !== undefined,
        });
        this.options.metrics.addCount("request.sent", 1, { route: request.route.name });
        logger.writeEvent("requestSent", {
            requestId,
            server: server.id,
            route: request.route.name,
            softwareVersion: server.softwareVersion,
            attempt: state.attemptCount + 1,
            remainingMs: Math.round(remainingMs),
            relayNode: path.relay?.name,
            isKeptConnection: state.currentAttempt.isOnKeptConnection(),
            resumedRequestId: request.head.resumedRequestId,
            lastEventId: state.lastEventId,
        });
        const result = await state.currentAttempt.run();
        state.lastEventId = state.continuity.lastEventId;
        if (result.type === "silent") {
            paths.recordSilence(path, state.relaySearch);
        }
        this.options.resumption.recordResult(server, result, path.relay !== undefined);
        this.options.guard.recordResult(request, server, result, sentMs, path.relay !== undefined);
        return result;
    }

    /** Returns undefined when the request may not be retried or no time would remain for a retry. */
    private computeInactivityTimeoutMs(state: RunState, remainingMs: number): number | undefined {
        const { route } = state.request;
        if (!isRepeatable(state.request) || state.attemptCount + 1 >= route.maximumAttempts) {
            return undefined;
        }
        const timeoutMs = Math.max(minimumInactivityMs, route.targetMs * inactivityFactor);
        return timeoutMs + minimumRemainingMs < remainingMs ? timeoutMs : undefined;
    }

    /** Checks whether a request may be retried now and another server takes it. */
    private hasAlternative(state: RunState, server: RegisteredServer): boolean {
        return (
            state.continuity.isResumable() &&
            state.dispatch.retries.isRetryAllowed(this.readNowMs()) &&
            this.options.selection.hasOtherServer(state, server)
        );
    }

    private recordRunning(state: RunState): void {
        const { route, arrivedMs } = state.request;
        state.firstDataMs = this.readNowMs();
        this.options.metrics.recordTime("request.firstToken", this.readNowMs() - arrivedMs, {
            class: route.name,
        });
        const { customer } = state.request;
        if (!state.isUsageCounted && customer !== undefined) {
            state.isUsageCounted = true;
            this.options.usage.recordRequest(customer.name);
        }
    }

    /** Returns whether the request is finished; otherwise another attempt follows. */
    private handleResult(state: RunState, server: RegisteredServer, result: AttemptResult): boolean {
        const { answer } = state;
        switch (result.type) {
            case "streamed":
                this.recordRest(state);
                this.recordEnd(state, server, "streamed");
                return true;
            case "answer":
                return this.handleAnswer(state, server, result.answer);
            case "cancelled":
                this.finishWithoutAnswer(state, false);
                return true;
            case "notSent":
                state.lastFailureReason = result.reason;
                return this.recordNotSent(state, server, result.obstacle)
                    ? false
                    : this.finishWithoutAnswer(state, false);
            case "notRun":
                return this.retryOrFinish(state, server, result.reason, true);
            case "lost":
            case "silent": {
                state.mayHaveRun = true;
                state.isStreamStarted = state.isStreamStarted || result.streamed;
                const reason = result.type === "lost" ? result.reason : "the server was silent";
                const isResumable = state.request.route.isResumable && state.continuity.isResumable();
                if (state.isStreamStarted && !isResumable) {
                    this.recordEnd(state, server, reason);
                    answer.abort();
                    return true;
                }
                return this.retryOrFinish(state, server, reason, isRepeatable(state.request));
            }
        }
    }

    /** Records that a request could not be sent, and returns whether it may be tried another way. */
    private recordNotSent(
        state: RunState,
        server: RegisteredServer,
        obstacle: RelayObstacle = "busy",
    ): boolean {
        const { relay, relaySearch } = state;
        if (relay === undefined) {
            state.connectFailures += 1;
            if (!this.options.paths.hasRelay(server, relaySearch)) {
                state.excluded.add(server.id);
            }
            return state.connectFailures < maximumConnectFailures;
        }
        if (relaySearch.recordDeclined(relay, server.id, obstacle)) {
            state.excluded.add(server.id);
        }
        this.reportDeclined(state, server, relay, obstacle);
        return !this.options.paths.isExhausted(relaySearch);
    }

    private reportDeclined(
        state: RunState,
        server: RegisteredServer,
        relay: NamedPeer,
        cause: RelayObstacle,
    ): void {
        this.options.metrics.addCount("request.relayDeclined", 1, { cause });
        this.options.logger.writeEvent("relayDeclined", {
            requestId: state.request.head.requestId,
            server: server.id,
            relayNode: relay.name,
            dataCentre: relay.dataCentre,
            cause,
            reason: state.lastFailureReason,
            declined: state.relaySearch.countDeclined(),
        });
    }

    private handleAnswer(
        state: RunState,
        server: RegisteredServer,
        received: CompleteBackendAnswer,
    ): boolean {
        const { request, answer } = state;
        if (received.status >= 500 && isRepeatable(request) && !state.isStreamStarted) {
            state.failedAnswer = received;
            state.mayHaveRun = true;
            return this.retryOrFinish(state, server, `status ${String(received.status)}`, true);
        }
        if (state.isStreamStarted) {
            answer.abort();
        } else {
            answer.sendComplete(received.status, received.headers, received.body);
        }
        this.recordEnd(state, server, `status ${String(received.status)}`);
        return true;
    }

    private retryOrFinish(
        state: RunState,
        server: RegisteredServer,
        reason: string,
        isAllowed: boolean,
    ): boolean {
        state.attemptCount += 1;
        state.isAdmitted = false;
        state.excluded.add(server.id);
        state.lastFailureReason = reason;
        return this.retries.takeRetry(state, server.id, isAllowed)
            ? false
            : this.finishWithoutAnswer(state, false);
    }

    /** Ends a request for which no server sent a usable response. */
    private finishWithoutAnswer(state: RunState, noServer: boolean): true {
        const { answer, request } = state;
        if (answer.isDisconnected) {
            this.recordEnd(state, undefined, "caller left");
            return true;
        }
        if (state.isStreamStarted) {
            this.recordEnd(state, undefined, `stream aborted: ${state.lastFailureReason}`);
            answer.abort();
            return true;
        }
        if (state.failedAnswer !== undefined) {
            const { status, headers, body } = state.failedAnswer;
            answer.sendComplete(status, headers, body);
            this.recordEnd(state, undefined, `status ${String(status)}`);
            return true;
        }
        if (answer.isStarted) {
            const cause = this.isStopped ? "node stopped" : "deadline passed";
            this.recordEnd(state, undefined, `${cause} during the response`);
            answer.abort();
            return true;
        }
        if (this.isStopped && !state.mayHaveRun) {
            throw buildDrainingError();
        }
        const remainingMs = request.deadlineMs - this.readNowMs();
        const returnMs = state.returnMs ?? this.options.selection.computeReturnMs(state);
        throw buildUnservedError(state, noServer, remainingMs, returnMs);
    }

    private recordRest({ firstDataMs, request }: RunState): void {
        if (firstDataMs !== undefined) {
            this.options.control.recordAnswer(request.route.name, this.readNowMs() - firstDataMs);
        }
    }

    private recordEnd(state: RunState, server: RegisteredServer | undefined, result: string): void {
        const { head, arrivedMs, route } = state.request;
        const elapsedMs = this.readNowMs() - arrivedMs;
        this.options.metrics.recordTime("request.complete", elapsedMs, { class: route.name });
        this.options.metrics.addCount("request.finished", 1, {
            class: route.name,
            status: selectStatusTag(result),
        });
        this.options.logger.writeEvent("requestEnded", {
            requestId: head.requestId,
            route: route.name,
            server: server?.id,
            result,
            elapsedMs: Math.round(elapsedMs),
        });
    }

    private readNowMs(): number {
        return this.options.clock.monotonicMs();
    }
}
