/**
 * Serves one caller's request from routing to the end of its answer.
 *
 * @packageDocumentation
 */
import type { FastifyReply, FastifyRequest } from "fastify";
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import { ErrorKind, type RouterError, type WaitingClock } from "@pimentocleat/types";
import { ActiveRequest, buildCancelError, type ActiveRequests } from "../dispatch/activeRequest.js";
import type { AtMostOnceRunner } from "../dispatch/atMostOnceRunner.js";
import type { RequestRunner, RunResult } from "../dispatch/requestRunner.js";
import type { RoutedRequest } from "../dispatch/routedRequest.js";
import type { RunContext } from "../dispatch/runState.js";
import { convertToRouterError, formatError } from "../errors/formatError.js";
import { TraceRecorder, type TraceBuffer } from "../explain/traceBuffer.js";
import type { CallerLimits } from "../limits/callerLimits.js";
import type { NodeLimits } from "../limits/nodeLimits.js";
import { CallerStream } from "../streams/callerStream.js";
import type { AdmittedRequest, RequestRouter } from "./requestRouter.js";

/** Answers that may not fit into the socket's buffer, so that a caller can hold them up. */
const stallTimeoutThresholdBytes = 65_536;

/** Options of a {@link RequestHandler}. */
export interface RequestHandlerOptions {
    readonly router: RequestRouter;
    readonly runner: RequestRunner;
    readonly atMostOnceRunner: AtMostOnceRunner;
    readonly activeRequests: ActiveRequests;
    readonly callerLimits: CallerLimits;
    readonly traces: TraceBuffer;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly clock: WaitingClock;
    readonly limits: NodeLimits;
    /** Whether the node is stopping, so that connections end after their answer. */
    readonly isDraining: () => boolean;
}

/** Serves requests. */
export class RequestHandler {
    /** @param options - The parts of the request path. */
    constructor(private readonly options: RequestHandlerOptions) {}

    /**
     * Serves an admitted request.
     *
     * @param admitted - Route and key.
     * @param request - The HTTP request with its body.
     * @param reply - Its answer.
     * @returns The reply.
     */
    async handleRequest(
        admitted: AdmittedRequest,
        request: FastifyRequest,
        reply: FastifyReply,
    ): Promise<FastifyReply> {
        if (admitted.match.type === "models") {
            return reply.send(buildModelList(admitted.table.listModels()));
        }
        const body = Buffer.isBuffer(request.body) ? request.body : undefined;
        const routed = this.options.router.resolveRequest(admitted, body);
        this.options.callerLimits.acquire(routed);
        const active = new ActiveRequest(routed.requestId, routed.keyId);
        this.options.activeRequests.addRequest(active);
        reply.raw.on("close", () => {
            if (!reply.raw.writableFinished) {
                active.cancel("callerGone");
            }
        });
        return this.serveRequest(routed, active, reply);
    }

    private async serveRequest(
        routed: RoutedRequest,
        active: ActiveRequest,
        reply: FastifyReply,
    ): Promise<FastifyReply> {
        const trace = new TraceRecorder(routed, this.options.clock);
        this.options.traces.addTrace(trace);
        const caller = routed.modelCall?.streamed ? this.openStream(routed, active, reply) : undefined;
        const context: RunContext = { request: routed, active, trace, caller, sendDeadlineMs: undefined };
        const run = this.startRun(context);
        try {
            const result = await (routed.repeatable ? run : waitForAnswer(run, active));
            this.recordFinish(context, result === "streamed" ? 200 : result.status);
            return result === "streamed" ? reply.hijack() : this.sendAnswer(result, reply);
        } catch (thrown) {
            return this.sendError(context, convertToRouterError(thrown), reply);
        }
    }

    /** Runs the request; it stays active until its run ends, even when the caller has its answer. */
    private startRun(context: RunContext): Promise<RunResult> {
        const { runner, atMostOnceRunner: onceRunner, activeRequests, callerLimits } = this.options;
        const run = context.request.repeatable ? runner.runRequest(context) : onceRunner.runRequest(context);
        return (run as Promise<RunResult>).finally(() => {
            callerLimits.recordEnd(context.request);
            activeRequests.removeRequest(context.active);
        });
    }

    private openStream(routed: RoutedRequest, active: ActiveRequest, reply: FastifyReply): CallerStream {
        return new CallerStream({
            requestId: routed.requestId,
            response: reply.raw,
            clock: this.options.clock,
            stalledCallerMs: this.options.limits.stalledCallerMs,
            onStalled: () => {
                active.cancel("callerGone");
                reply.raw.destroy();
            },
            isClosing: this.options.isDraining,
        });
    }

    private sendAnswer(result: Exclude<RunResult, "streamed">, reply: FastifyReply): FastifyReply {
        reply.code(result.status).headers(result.headers);
        if (result.replayed) {
            reply.header("idempotent-replayed", "true");
        }
        if (result.body.length > stallTimeoutThresholdBytes) {
            reply.raw.setTimeout(this.options.limits.stalledCallerMs, () => reply.raw.destroy());
        }
        return reply.send(result.body);
    }

    private sendError(context: RunContext, error: RouterError, reply: FastifyReply): FastifyReply {
        this.recordError(context, error);
        if (context.caller?.started) {
            context.caller.finishWithError(error);
            return reply.hijack();
        }
        if (reply.raw.destroyed) {
            return reply.hijack();
        }
        const { status, headers, body } = formatError(error, context.request.requestId);
        return reply.code(status).headers(headers).send(body);
    }

    private recordFinish(context: RunContext, status: number): void {
        const { requestClass, requestId, arrivedMs } = context.request;
        const { metrics, logger, clock } = this.options;
        context.trace.addStep("finished", `status ${status}`);
        metrics.addCount("request.finished", 1, { class: requestClass, status: String(status) });
        metrics.recordTime("request.complete", clock.monotonicMs() - arrivedMs, { class: requestClass });
        logger.writeEvent("requestFinished", { requestId, status });
    }

    private recordError(context: RunContext, error: RouterError): void {
        const { requestId } = context.request;
        const { metrics, logger } = this.options;
        const gone = context.active.cancelReason === "callerGone";
        context.trace.addStep("finished", gone ? "caller gone" : `${error.kind}, executed ${error.executed}`);
        if (gone) {
            metrics.addCount("request.abandoned", 1);
            return;
        }
        metrics.addCount("request.refused", 1, { kind: error.kind });
        logger.writeEvent("requestRefused", { requestId, kind: error.kind, executed: error.executed });
        if (error.kind === ErrorKind.Internal) {
            logger.writeEvent("unexpectedError", { requestId, message: String(error.cause) });
        }
    }
}

/** Answers at once when the key is withdrawn, while the run goes on and records its outcome. */
async function waitForAnswer(run: Promise<RunResult>, active: ActiveRequest): Promise<RunResult> {
    const cancelled = active.waitForCancel().then((reason) => {
        throw buildCancelError(reason, true);
    });
    run.catch(() => {});
    return Promise.race([run, cancelled]);
}

function buildModelList(models: readonly string[]): object {
    const data = models.map((id) => ({ id, object: "model", owned_by: "pimentocleat" }));
    return { object: "list", data };
}
