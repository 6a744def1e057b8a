/**
 * Runs a request: chooses a server, sends the request, and retries it only where a retry is allowed.
 *
 * @packageDocumentation
 */
import type { OverloadControl, RelayObstacle } from "@pimentocleat/policy";
import { computeTimerMs } from "@pimentocleat/types";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { CallerAnswer } from "../callers/callerAnswer.js";
import type { NamedPeer } from "../peers/peerDirectory.js";
import type { AttemptResult, CompleteBackendAnswer } from "./attemptResult.js";
import { AttemptStarter, type AttemptStarterOptions } from "./attemptStarter.js";
import { isRepeatable, type GatewayRequest } from "./gatewayRequest.js";
import { RetryDecision } from "./retryDecision.js";
import {
    buildDrainingError,
    buildRunState,
    buildUnservedError,
    recordAttempt,
    minimumRemainingMs,
    selectStatusTag,
    type RunningAttempt,
    type RunState,
    type Takeover,
} from "./runState.js";
import type { ServiceDispatchRegistry } from "./serviceDispatch.js";
import { Takeovers } from "./takeovers.js";

/** Options of a {@link RequestRunner}. */
export interface RequestRunnerOptions extends AttemptStarterOptions {
    readonly dispatches: ServiceDispatchRegistry;
    readonly control: OverloadControl;
}

/** Maximum number of attempts per request that fail before any byte is sent. */
const maximumConnectFailures = 4;

/** Runs requests and retries failed attempts. */
export class RequestRunner {
    private readonly retries: RetryDecision;
    private readonly starter: AttemptStarter;
    private readonly takeovers: Takeovers;
    private readonly running = new Set<RunState>();
    private isStopped = false;

    /** @param options - Servers, protocol, clock and recorders. */
    constructor(private readonly options: RequestRunnerOptions) {
        this.retries = new RetryDecision(options);
        this.starter = new AttemptStarter(options);
        this.takeovers = new Takeovers({ ...options, starter: this.starter, retries: this.retries });
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
            this.takeovers.withdraw(state);
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
        const attempts = [state.current, state.takeover?.running].flatMap(
            (running) => running?.attempt ?? [],
        );
        state.mayHaveRun = state.mayHaveRun || attempts.some((attempt) => attempt.hasSentBytes());
        attempts.forEach((attempt) => attempt.cancel());
        state.cancelWait?.();
    }

    private async runAttempts(state: RunState): Promise<void> {
        for (;;) {
            const { takeover } = state;
            const running = await (takeover === undefined
                ? this.startAttempt(state)
                : this.waitForTakeover(state, takeover));
            if (running === undefined) {
                return;
            }
            state.current = running;
            if (this.handleResult(state, running, await running.result)) {
                return;
            }
        }
    }

    /** Sends the request to a server, or finishes it and returns undefined. */
    private async startAttempt(state: RunState): Promise<RunningAttempt | undefined> {
        if (!(await this.waitForAdmission(state))) {
            return this.finishUnsent(state, "admission");
        }
        const server = await this.options.selection.chooseServer(state);
        if (server === undefined) {
            return this.finishUnsent(state, "noServer");
        }
        if (!this.isSendable(state)) {
            this.options.selection.releaseServer(server);
            this.options.admissions.recordChange();
            this.finishWithoutAnswer(state, false);
            return undefined;
        }
        return this.starter.startAttempt(state, server, this.takeovers.buildListener(state));
    }

    /** Goes on with the attempt that was started while the last one was silent; finishes the request if there is none. */
    private async waitForTakeover(state: RunState, takeover: Takeover): Promise<RunningAttempt | undefined> {
        state.takeover = undefined;
        state.current = takeover.running;
        const running = await takeover.started;
        state.isAdmitted = running !== undefined;
        return running ?? this.finishUnsent(state, "noServer");
    }

    private finishUnsent(state: RunState, obstacle: "admission" | "noServer"): undefined {
        if (state.failedAnswer !== undefined) {
            this.retries.recordObstacle(state, undefined, obstacle);
        }
        this.finishWithoutAnswer(state, obstacle === "noServer");
    }

    private isSendable(state: RunState): boolean {
        const remainingMs = state.request.deadlineMs - this.readNowMs();
        if (state.isCancelled || remainingMs < minimumRemainingMs) {
            return false;
        }
        state.harmfulCause = this.options.guard.findHarmfulCause(state.request, state.attemptCount === 0);
        return state.harmfulCause === undefined;
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
    private handleResult(state: RunState, running: RunningAttempt, result: AttemptResult): boolean {
        switch (result.type) {
            case "streamed":
                this.recordRest(state);
                this.recordEnd(state, running.server, "streamed");
                return true;
            case "answer":
                return this.handleAnswer(state, running, result.answer);
            case "cancelled":
                this.finishWithoutAnswer(state, false);
                return true;
            case "notSent":
                state.lastFailureReason = result.reason;
                return this.recordNotSent(state, running, result.obstacle) || state.takeover !== undefined
                    ? false
                    : this.finishWithoutAnswer(state, false);
            case "notRun":
                return this.retryOrFinish(state, running, result.reason, true);
            case "lost":
            case "silent": {
                if (result.type === "silent" && state.takeover === undefined) {
                    this.options.paths.recordSilence(running.path, state.relaySearch);
                }
                state.mayHaveRun = true;
                const reason = result.type === "lost" ? result.reason : "the server was silent";
                return this.retryOrFinish(state, running, reason, isRetriable(state));
            }
        }
    }

    /** Records that a request could not be sent, and returns whether it may be tried another way. */
    private recordNotSent(
        state: RunState,
        { server, path: { relay } }: RunningAttempt,
        obstacle: RelayObstacle = "busy",
    ): boolean {
        const { relaySearch } = state;
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

    private handleAnswer(state: RunState, running: RunningAttempt, received: CompleteBackendAnswer): boolean {
        const { request, answer } = state;
        const { status, headers, body } = received;
        const result = `status ${String(status)}`;
        if (answer.isStarted) {
            state.mayHaveRun = true;
            return this.retryOrFinish(state, running, result, isRetriable(state));
        }
        if (status >= 500 && isRepeatable(request)) {
            state.failedAnswer = received;
            state.mayHaveRun = true;
            return this.retryOrFinish(state, running, result, true);
        }
        answer.sendComplete(status, headers, body);
        this.recordEnd(state, running.server, result);
        return true;
    }

    private retryOrFinish(
        state: RunState,
        running: RunningAttempt,
        reason: string,
        isAllowed: boolean,
    ): boolean {
        recordAttempt(state, running);
        state.isAdmitted = false;
        state.excluded.add(running.server.id);
        state.lastFailureReason = reason;
        if (state.takeover !== undefined) {
            // The other attempt was started as a retry.
            return false;
        }
        return this.retries.takeRetry(state, running.server.id, isAllowed)
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
        if (answer.isStarted) {
            this.recordEnd(state, undefined, `response aborted: ${this.selectAbortReason(state)}`);
            answer.abort();
            return true;
        }
        if (state.failedAnswer !== undefined) {
            const { status, headers, body } = state.failedAnswer;
            answer.sendComplete(status, headers, body);
            this.recordEnd(state, undefined, `status ${String(status)}`);
            return true;
        }
        if (this.isStopped && !state.mayHaveRun) {
            throw buildDrainingError();
        }
        const remainingMs = request.deadlineMs - this.readNowMs();
        const returnMs = state.returnMs ?? this.options.selection.computeReturnMs(state);
        throw buildUnservedError(state, noServer, remainingMs, returnMs);
    }

    private selectAbortReason({ isCancelled, lastFailureReason }: RunState): string {
        if (!isCancelled) {
            return lastFailureReason;
        }
        return this.isStopped ? "node stopped" : "deadline passed";
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

/** Checks whether a request may be sent again, from its start or where its stream has to go on. */
function isRetriable({ request, answer, continuity }: RunState): boolean {
    const isContinuable = request.route.isResumable && continuity.isResumable();
    return isRepeatable(request) && (!answer.isStarted || isContinuable);
}
