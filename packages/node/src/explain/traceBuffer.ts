/**
 * Keeps decision traces of recent requests, which show operators why a request was routed, refused or
 * retried.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** One step in the processing of a request. */
export interface TraceStep {
    /** Time since the request arrived, in milliseconds. */
    readonly afterMs: number;
    readonly step: "queued" | "started" | "firstToken" | "failed" | "retried" | "claimed" | "finished";
    /** Details such as the server or the error kind; contains no secrets. */
    readonly detail: string;
}

/** The recorded steps of one request. */
export interface RequestTrace {
    readonly requestId: string;
    readonly customer: string;
    readonly requestClass: string;
    readonly pool: string;
    /** Wall time of the arrival, in milliseconds since the Unix epoch. */
    readonly arrivedWallMs: number;
    readonly steps: readonly TraceStep[];
}

/** The request that a trace describes. */
export interface TraceSubject {
    readonly requestId: string;
    readonly customer: string;
    readonly requestClass: string;
    readonly pool: string;
}

/** Collects the steps of one request. */
export class TraceRecorder implements RequestTrace {
    readonly requestId: string;
    readonly customer: string;
    readonly requestClass: string;
    readonly pool: string;
    readonly arrivedWallMs: number;
    readonly steps: TraceStep[] = [];
    private readonly arrivedMs: number;

    /**
     * @param subject - The request to trace.
     * @param clock - Provides the time of each step.
     */
    constructor(
        subject: TraceSubject,
        private readonly clock: Clock,
    ) {
        this.requestId = subject.requestId;
        this.customer = subject.customer;
        this.requestClass = subject.requestClass;
        this.pool = subject.pool;
        this.arrivedWallMs = clock.wallMs();
        this.arrivedMs = clock.monotonicMs();
    }

    /**
     * Adds a step.
     *
     * @param step - Kind of the step.
     * @param detail - Details of the step; must not contain secrets.
     */
    addStep(step: TraceStep["step"], detail: string): void {
        this.steps.push({ afterMs: this.clock.monotonicMs() - this.arrivedMs, step, detail });
    }
}

/** Keeps the traces of the most recent requests, up to a fixed number. */
export class TraceBuffer {
    private readonly traces = new Map<string, RequestTrace>();

    /** @param capacity - Maximum number of traces. */
    constructor(private readonly capacity: number) {}

    /**
     * Adds a trace and drops the oldest one when the buffer is full.
     *
     * @param trace - The trace; steps may still be added to it.
     */
    addTrace(trace: RequestTrace): void {
        this.traces.set(trace.requestId, trace);
        if (this.traces.size > this.capacity) {
            const oldest = this.traces.keys().next().value;
            this.traces.delete(oldest ?? "");
        }
    }

    /**
     * Finds a trace.
     *
     * @param requestId - Identifier of the request.
     * @returns The trace, or undefined when the request is unknown or its trace was dropped.
     */
    findTrace(requestId: string): RequestTrace | undefined {
        return this.traces.get(requestId);
    }

    /** @returns The kept traces, oldest first. */
    listTraces(): readonly RequestTrace[] {
        return [...this.traces.values()];
    }
}
