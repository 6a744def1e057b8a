/**
 * Sends requests whose servers are silent to other servers. A silent server may only make a pause, and another one may be
 * full, fail or be silent too, so the first attempt goes on until the other server has responded; whichever responds first
 * keeps the caller.
 *
 * @packageDocumentation
 */
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import type { Clock } from "@pimentocleat/types";
import type { ServerPaths } from "../relaying/serverPaths.js";
import type { AdmissionQueue } from "./admissionQueue.js";
import type { AttemptResult } from "./attemptResult.js";
import type { AttemptListener, AttemptStarter } from "./attemptStarter.js";
import type { RequestGuard } from "./requestGuard.js";
import type { RetryDecision } from "./retryDecision.js";
import { recordAttempt, type RunningAttempt, type RunState, type Takeover } from "./runState.js";
import type { ServerSelection } from "./serverSelection.js";

/** Options of {@link Takeovers}. */
export interface TakeoversOptions {
    readonly starter: AttemptStarter;
    readonly retries: RetryDecision;
    readonly admissions: AdmissionQueue;
    readonly selection: ServerSelection;
    readonly guard: RequestGuard;
    readonly paths: ServerPaths;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** How a takeover ended. */
type TakeoverEnd = "taken" | "withdrawn" | "failed";

/** Longest time for which two servers may work on a stream that the second one has begun, in milliseconds. */
const maximumOverlapMs = 300;
/** An error of the other server is no reason to give the silent one up; it is kept in case that one fails too. */
const firstErrorStatus = 400;

/** Starts takeovers and decides which attempt keeps the caller. */
export class Takeovers {
    /** @param options - What chooses servers and sends requests. */
    constructor(private readonly options: TakeoversOptions) {}

    /**
     * Builds the listener of a request's attempts.
     *
     * @param state - State of the request.
     * @returns The listener.
     */
    buildListener(state: RunState): AttemptListener {
        return {
            onSilent: (running) => this.handleSilence(state, running),
            onStreamHead: (running) => this.startOverlapTimer(state, running),
            tryForward: (running, status) => this.tryForward(state, running, status),
        };
    }

    /**
     * Ends the takeover of a request, if one runs, because the silent server has responded or the request has ended.
     *
     * @param state - State of the request.
     */
    withdraw(state: RunState): void {
        const { takeover } = state;
        if (takeover === undefined) {
            return;
        }
        state.takeover = undefined;
        takeover.isWithdrawn = true;
        if (takeover.running === undefined) {
            state.cancelWait?.();
            return;
        }
        recordAttempt(state, takeover.running);
        state.mayHaveRun = true;
        takeover.running.attempt.cancel();
        this.recordEnd(state, takeover.running, "withdrawn");
    }

    private handleSilence(state: RunState, silent: RunningAttempt): void {
        if (!this.hasAlternative(state, silent)) {
            return;
        }
        if (state.takeover === undefined) {
            this.start(state, silent);
        } else if (state.takeover.running === silent) {
            // Nothing was forwarded of it; its end starts the next takeover.
            silent.attempt.abortSilent();
        }
    }

    private start(state: RunState, silent: RunningAttempt): void {
        const started = Promise.resolve(undefined);
        const takeover: Takeover = { silent, started, running: undefined, isWithdrawn: false };
        state.takeover = takeover;
        this.options.paths.recordSilence(silent.path, state.relaySearch);
        takeover.started = this.open(state, takeover);
    }

    /** Checks whether a request may be sent once more now, and another server is there for it. */
    private hasAlternative(state: RunState, { server, isCounted }: RunningAttempt): boolean {
        const { attemptCount, request, dispatch, continuity } = state;
        return (
            attemptCount + (isCounted ? 0 : 1) < request.route.maximumAttempts &&
            continuity.isResumable() &&
            dispatch.retries.isRetryAllowed(this.options.clock.monotonicMs()) &&
            this.options.selection.hasOtherServer(state, server)
        );
    }

    private async open(state: RunState, takeover: Takeover): Promise<RunningAttempt | undefined> {
        const running = await this.send(state, takeover);
        if (running === undefined && state.takeover === takeover) {
            state.takeover = undefined;
        }
        return running;
    }

    private async send(state: RunState, takeover: Takeover): Promise<RunningAttempt | undefined> {
        const { admissions, selection, guard, retries, starter } = this.options;
        const { silent } = takeover;
        state.excluded.add(silent.server.id);
        const admission = await admissions.waitForStart(state);
        state.returnMs = admission.type === "refused" ? admission.returnMs : undefined;
        if (admission.type !== "admitted" || takeover.isWithdrawn) {
            return undefined;
        }
        const server = await selection.chooseServer(state);
        if (server === undefined) {
            return undefined;
        }
        const isSendable =
            !takeover.isWithdrawn && guard.findHarmfulCause(state.request, false) === undefined;
        if (isSendable) {
            recordAttempt(state, silent);
            state.lastFailureReason = "the server was silent";
        }
        if (!isSendable || !retries.takeRetry(state, silent.server.id, true)) {
            selection.releaseServer(server);
            admissions.recordChange();
            return undefined;
        }
        const running = starter.startAttempt(state, server, this.buildListener(state));
        takeover.running = running;
        void running.result.then((result) => this.handleResult(state, takeover, running, result));
        return running;
    }

    /** Ends the overlap of two servers that both work on a stream. */
    private startOverlapTimer(state: RunState, running: RunningAttempt): void {
        if (state.takeover?.running === running) {
            setTimeout(() => {
                if (state.takeover?.running === running) {
                    this.finish(state, running);
                }
            }, maximumOverlapMs);
        }
    }

    private tryForward(state: RunState, running: RunningAttempt, status: number): boolean {
        if (state.takeover?.running !== running) {
            this.withdraw(state);
            return true;
        }
        if (status >= firstErrorStatus) {
            return false;
        }
        this.finish(state, running);
        return true;
    }

    /** Gives the silent attempt up; the request goes on with the other one. */
    private finish(state: RunState, running: RunningAttempt): void {
        const silent = state.takeover?.silent.attempt;
        if (silent?.isRunning() === true) {
            silent.abortSilent();
            this.recordEnd(state, running, "taken");
        }
    }

    /** Handles the end of the other attempt while the silent one still runs. */
    private handleResult(
        state: RunState,
        takeover: Takeover,
        running: RunningAttempt,
        result: AttemptResult,
    ): void {
        if (state.takeover !== takeover) {
            return;
        }
        if (isUsable(state, result)) {
            this.finish(state, running);
            return;
        }
        state.takeover = undefined;
        state.excluded.add(running.server.id);
        if (result.type !== "notSent") {
            recordAttempt(state, running);
            state.mayHaveRun = state.mayHaveRun || result.type !== "notRun";
        }
        if (result.type === "answer" && !state.answer.isStarted) {
            state.failedAnswer = result.answer;
        }
        this.recordEnd(state, running, "failed", formatFailure(result));
        if (takeover.silent.attempt.isRunning() && this.hasAlternative(state, takeover.silent)) {
            this.start(state, takeover.silent);
        }
    }

    private recordEnd(
        { request: { head, route } }: RunState,
        { server }: RunningAttempt,
        result: TakeoverEnd,
        reason?: string,
    ): void {
        this.options.metrics.addCount("request.takeover", 1, { result });
        this.options.logger.writeEvent("takeoverEnded", {
            requestId: head.requestId,
            route: route.name,
            server: server.id,
            result,
            reason,
        });
    }
}

/** Checks whether a response can be sent to the caller in place of the one of the silent server. */
function isUsable({ answer }: RunState, result: AttemptResult): boolean {
    return (
        result.type === "streamed" ||
        (result.type === "answer" && result.answer.status < firstErrorStatus && !answer.isStarted)
    );
}

function formatFailure(result: AttemptResult): string {
    switch (result.type) {
        case "answer":
            return `status ${String(result.answer.status)}`;
        case "lost":
        case "notRun":
        case "notSent":
            return result.reason;
        default:
            return result.type;
    }
}
