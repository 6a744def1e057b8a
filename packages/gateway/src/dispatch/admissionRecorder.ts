/**
 * Records waits, refusals and times to come back, with what they were decided from.
 *
 * @packageDocumentation
 */
import type { AdmissionDecision, AdmissionRequest, FinalDecision, ServiceLoad } from "@pimentocleat/policy";
import type { LogFields, Logger, Metrics } from "@pimentocleat/telemetry";
import type { Clock } from "@pimentocleat/types";

/** A request, and since when it asks to start. */
export interface RecordedRequest {
    readonly admission: AdmissionRequest;
    readonly service: string;
    readonly sinceMs: number;
}

/** Options of an {@link AdmissionRecorder}. */
export interface AdmissionRecorderOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Writes log events and metrics. */
export class AdmissionRecorder {
    /** @param options - The clock and the recorders. */
    constructor(private readonly options: AdmissionRecorderOptions) {}

    /** Records that a request begins to wait. */
    recordWait(request: RecordedRequest, decision: AdmissionDecision & { readonly type: "wait" }): void {
        const { logger, metrics, clock } = this.options;
        const { reason, untilMs } = decision;
        metrics.addCount("admission.decided", 1, { result: "waiting", reason });
        logger.writeEvent("requestWaiting", {
            ...this.buildFields(request),
            reason,
            untilMs: Math.round(untilMs - clock.monotonicMs()),
        });
    }

    /** Records that a request starts. */
    recordStart(request: RecordedRequest, { reason }: FinalDecision, hasWaited: boolean): void {
        const { logger, metrics } = this.options;
        metrics.addCount("admission.decided", 1, { result: "started", reason });
        if (hasWaited) {
            this.recordWaitEnd(request);
            logger.writeEvent("requestAdmitted", { ...this.buildFields(request), reason });
        }
    }

    /** Records that a request is refused. */
    recordRefusal(
        request: RecordedRequest,
        decision: FinalDecision & { readonly type: "refuse" },
        load: ServiceLoad,
    ): void {
        const { logger, metrics } = this.options;
        const { reason, returnMs } = decision;
        metrics.addCount("admission.decided", 1, { result: "refused", reason });
        metrics.recordTime("admission.return", returnMs, { class: request.admission.kind });
        logger.writeEvent("requestOverloaded", {
            ...this.buildFields(request),
            reason,
            returnMs: Math.round(returnMs),
            takenShare: Math.round(load.takenShare * 100) / 100,
            waitingAtServers: load.waiting,
        });
    }

    /** Records how long a request has waited. */
    recordWaitEnd({ admission, sinceMs }: RecordedRequest): void {
        const waitedMs = this.options.clock.monotonicMs() - sinceMs;
        this.options.metrics.recordTime("admission.wait", waitedMs, { class: admission.kind });
    }

    private buildFields({ admission, sinceMs, service }: RecordedRequest): LogFields {
        const { requestId, kind, priority, promptTokens, deadlineMs } = admission;
        const nowMs = this.options.clock.monotonicMs();
        return {
            requestId,
            route: kind,
            service,
            priority,
            promptTokens,
            waitedMs: Math.round(nowMs - sinceMs),
            remainingMs: Math.round(deadlineMs - nowMs),
        };
    }
}
