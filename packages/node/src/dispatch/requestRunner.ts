/**
 * Runs a routed request: waits for a slot, sends the request to a backend server and retries it where that
 * is allowed.
 *
 * @packageDocumentation
 */
import type { Pool } from "@pimentocleat/schema";
import type { UsageRecorder } from "@pimentocleat/state";
import type { Logger, Metrics, MetricTags } from "@pimentocleat/telemetry";
import { ErrorKind, RouterError, type Clock } from "@pimentocleat/types";
import type { CallerLimits } from "../limits/callerLimits.js";
import type { NodeLimits } from "../limits/nodeLimits.js";
import { readTokenUsage } from "../streams/streamEvent.js";
import { StreamRelay } from "../streams/streamRelay.js";
import type { ConnectionPool } from "@pimentocleat/upstream";
import type { ExchangeRequest } from "../upstream/exchange.js";
import { UsageMeter } from "../usage/usageMeter.js";
import { buildCancelError } from "./activeRequest.js";
import { Attempt, type AttemptResult } from "./attempt.js";
import { buildExchangeBody } from "./buildExchangeBody.js";
import { buildFailureError, chooseFailureAction, convertFailureToOutcome } from "./chooseFailureAction.js";
import type { PoolTask } from "./poolTask.js";
import type { StartGrant } from "./poolTaskOptions.js";
import type { PoolTasks } from "./poolTasks.js";
import type { RoutedRequest, CompleteAnswer } from "./routedRequest.js";
import {
    buildQueuedRequest,
    buildFailureContext,
    checkSendAllowed,
    selectRefusalError,
    recordOutcome,
    takeMoveTargetGrant,
    type FailedResult,
    type RunContext,
    type RunState,
} from "./runState.js";

/** Statuses that, together with `x-executed: no`, mean that a plain service did not run the request. */
const serviceRejectionStatuses: ReadonlySet<number> = new Set([401, 429, 503]);
/** The same for an engine, which also answers 404 when it has not loaded the model. */
const engineRejectionStatuses: ReadonlySet<number> = new Set([...serviceRejectionStatuses, 404]);

/** Options of a {@link RequestRunner}. */
export interface RequestRunnerOptions {
    readonly tasks: PoolTasks;
    readonly connections: ConnectionPool;
    readonly usage: UsageRecorder;
    readonly callerLimits: CallerLimits;
    readonly metrics: Metrics;
    readonly logger: Logger;
    readonly clock: Clock;
    readonly limits: NodeLimits;
    /** Reads a backend credential from the environment variable with the given name. */
    readonly readCredential: (variable: string) => string | undefined;
    /** Whether the node may serve requests; false while it may have missed key withdrawals. */
    readonly isServingAllowed: () => boolean;
}

/** The result of a successful run: a complete response, or `streamed` when it was relayed to the caller. */
export type RunResult = CompleteAnswer | "streamed";

/** Runs routed requests. */
export class RequestRunner {
    /** @param options - Pool tasks, connections, limits and telemetry. */
    constructor(private readonly options: RequestRunnerOptions) {}

    /**
     * Runs a request to completion, including its retries.
     *
     * @param context - The request and its caller.
     * @returns The complete response, or `streamed`.
     * @throws RouterError when the caller gets no complete response.
     */
    async runRequest(context: RunContext): Promise<RunResult> {
        const task = this.options.tasks.findTask(context.request.pool);
        if (task === undefined) {
            throw new RouterError(ErrorKind.NoBackendServer);
        }
        const state = this.createState(context, task);
        task.retryBudget.recordFirstAttempt();
        try {
            const result = await this.runAttempts(state);
            this.recordTokens("tokens.served", { class: context.request.requestClass }, state);
            return result;
        } catch (error) {
            const reason = context.active.cancelReason ?? (error as { kind?: string }).kind ?? "internal";
            this.recordTokens("tokens.wasted", { reason }, state);
            throw error;
        } finally {
            context.active.setCancelListener(undefined);
            state.meter.finish();
        }
    }

    private recordTokens(name: "tokens.served" | "tokens.wasted", tags: MetricTags, state: RunState): void {
        const { completionTokens } = state.meter;
        if (completionTokens > 0) {
            this.options.metrics.addCount(name, completionTokens, tags);
        }
    }

    private createState(context: RunContext, task: PoolTask): RunState {
        const { request, caller } = context;
        const meter = new UsageMeter(this.options.usage, request);
        const progress = {
            onTokens: (tokens: number): void => this.recordStreamTokens(context, task, meter, tokens),
        };
        const resumable = request.modelCall?.resumable ?? false;
        const relay = caller === undefined ? undefined : new StreamRelay({ caller, resumable, progress });
        return {
            context,
            task,
            relay,
            meter,
            excludedServers: [],
            attempt: 1,
            dispatchNumber: 1,
            sent: false,
            moveTarget: undefined,
            lastError: undefined,
        };
    }

    private recordStreamTokens(context: RunContext, task: PoolTask, meter: UsageMeter, tokens: number): void {
        const { request, trace } = context;
        if (meter.completionTokens === 0) {
            const elapsedMs = this.options.clock.monotonicMs() - request.arrivedMs;
            trace.addStep("firstToken", "");
            task.recordFirstToken(request.requestId);
            this.options.metrics.recordTime("request.firstToken", elapsedMs, { class: request.requestClass });
        }
        meter.addCompletionTokens(tokens);
        task.recordTokens(request.requestId, tokens);
        this.options.callerLimits.recordTokens(request, tokens);
    }

    private async runAttempts(state: RunState): Promise<RunResult> {
        let grant = await this.waitForGrant(state);
        for (;;) {
            const result = await this.runGrantedAttempt(state, grant);
            if (result.type !== "failed") {
                return this.finishAttempt(state, grant, result);
            }
            this.handleFailure(state, grant, result);
            grant = takeMoveTargetGrant(state, grant) ?? (await this.waitForGrant(state));
        }
    }

    private async waitForGrant(state: RunState): Promise<StartGrant> {
        const { context, task } = state;
        context.trace.addStep("queued", `attempt ${state.attempt}`);
        try {
            return await task.waitForStart(buildQueuedRequest(state), context.active);
        } catch (error) {
            throw selectRefusalError(state, error);
        }
    }

    /** Runs an attempt on the granted server, and releases its slot also when it could not be started. */
    private async runGrantedAttempt(state: RunState, grant: StartGrant): Promise<AttemptResult> {
        try {
            return await this.runAttempt(state, grant);
        } catch (error) {
            recordOutcome(state, grant, "cancelled");
            throw error;
        }
    }

    private async runAttempt(state: RunState, grant: StartGrant): Promise<AttemptResult> {
        const { context, task, relay } = state;
        const { request, active, caller } = context;
        checkSendAllowed(state, this.options.isServingAllowed(), this.options.clock.monotonicMs());
        context.trace.addStep("started", `${grant.server.name}, priority ${grant.priority}`);
        const attempt = new Attempt({
            request: this.buildExchangeRequest(state, grant),
            connections: this.options.connections,
            maximumAnswerBytes: this.options.limits.maximumAnswerBytes,
            stream: relay !== undefined && caller !== undefined ? { relay, caller } : undefined,
            uncancellable: !request.repeatable,
            resumable: request.modelCall?.resumable ?? false,
        });
        task.setRunningRequestListener(request.requestId, attempt);
        active.setCancelListener((reason) => attempt.onCancel(reason));
        const result = await attempt.run();
        active.setCancelListener(undefined);
        state.moveTarget = attempt.moveTarget;
        return result;
    }

    private buildExchangeRequest(state: RunState, grant: StartGrant): ExchangeRequest {
        const { request } = state.context;
        const { pool } = state.task;
        const resumePoint = state.relay?.streamedTokens ? state.relay.getResumePoint() : undefined;
        return {
            address: grant.server.address,
            method: request.method,
            path: request.path,
            headers: this.buildHeaders(request, pool, grant.priority),
            body: buildExchangeBody(request.body, resumePoint),
            attemptId:
                state.dispatchNumber === 1
                    ? request.requestId
                    : `${request.requestId}.${state.dispatchNumber}`,
            answerTimeoutMs: pool.answerTimeoutMs,
            usesNewConnection: !request.repeatable,
            rejectionStatuses:
                request.modelCall === undefined ? serviceRejectionStatuses : engineRejectionStatuses,
        };
    }

    private buildHeaders(request: RoutedRequest, pool: Pool, priority: number): Record<string, string> {
        const headers: Record<string, string> = { ...request.headers };
        if (request.modelCall !== undefined) {
            headers["x-priority"] = String(priority);
        }
        const variable = pool.credentialVariable;
        const credential = variable === undefined ? undefined : this.options.readCredential(variable);
        if (credential !== undefined) {
            headers["authorization"] = `Bearer ${credential}`;
        }
        return headers;
    }

    private finishAttempt(
        state: RunState,
        grant: StartGrant,
        result: Exclude<AttemptResult, FailedResult>,
    ): RunResult {
        const { context, task, relay, meter } = state;
        const { requestId } = context.request;
        if (result.type === "streamed") {
            meter.setReportedUsage(state.dispatchNumber === 1 ? relay?.reportedUsage : undefined);
            recordOutcome(state, grant, "completed");
            return "streamed";
        }
        const usage = context.request.modelCall && readTokenUsage(result.parsedBody);
        if (usage !== undefined) {
            meter.setReportedUsage(usage);
            task.recordTokens(requestId, usage.completionTokens);
            this.options.callerLimits.recordTokens(context.request, usage.completionTokens);
        }
        recordOutcome(state, grant, "completed");
        return result.answer;
    }

    private handleFailure(state: RunState, grant: StartGrant, result: FailedResult): void {
        const { context, task } = state;
        const { failure, cancelReason, moved } = result;
        const { trace } = context;
        const failureContext = buildFailureContext(state, result);
        state.sent ||= failure.sent && failure.type !== "rejected";
        const outcome = cancelReason === undefined && !moved ? convertFailureToOutcome(failure) : "cancelled";
        recordOutcome(state, grant, outcome, moved);
        trace.addStep("failed", `${grant.server.name}: ${failure.type}, ${failure.message}`);
        if (cancelReason !== undefined) {
            throw buildCancelError(cancelReason, state.sent);
        }
        const action = chooseFailureAction(failureContext, task.retryBudget);
        if (action.type === "fail") {
            throw action.error;
        }
        this.recordRetry(state, moved ? "moved" : failure.type);
        state.lastError = buildFailureError(failureContext);
        state.excludedServers.push(grant.server.name);
        state.attempt += moved ? 0 : 1;
        state.dispatchNumber += 1;
    }

    private recordRetry(state: RunState, reason: string): void {
        const { request, trace } = state.context;
        trace.addStep("retried", reason);
        this.options.metrics.addCount("request.retried", 1, { reason });
        this.options.logger.writeEvent("requestRetried", { requestId: request.requestId, reason });
    }
}
