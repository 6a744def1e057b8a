/**
 * Decision traces of recent requests, for the operators' question why a request was routed,
 * refused or retried.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** One decision about a request. */
export interface TraceStep {
    /** Time since the request arrived, in milliseconds. */
    readonly afterMs: number;
    readonly step: "queued" | "started" | "firstToken" | "failed" | "retried" | "claimed" | "finished";
    /** Values of the step, such as the server or the error kind; no secrets. */
    readonly detail: string;
}

/** The decisions about one request. */
export interface RequestTrace {
    readonly requestId: string;
    readonly customer: string;
    readonly requestClass: string;
    readonly pool: string;
    /** Wall time of the arrival, in milliseconds since the Unix epoch. */
    readonly arrivedWallMs: number;
    readonly steps: readonly TraceStep[];
}

/** What a trace is about. */
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
     * @param subject - The request.
     * @param clock - Gives the time of each step.
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
     * @param step - What happened.
     * @param detail - Its values; no secrets.
     */
    addStep(step: TraceStep["step"], detail: string): void {
        this.steps.push({ afterMs: this.clock.monotonicMs() - this.arrivedMs, step, detail });
    }
}

/** Keeps the traces of the last requests in a ring. */
export class TraceBuffer {
    private readonly traces = new Map<string, RequestTrace>();

    /** @param capacity - Traces to keep. */
    constructor(private readonly capacity: number) {}

    /**
     * Adds a trace and drops the oldest one when the buffer is full.
     *
     * @param trace - The trace; it may still grow.
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
     * @param requestId - The request's identifier.
     * @returns The trace, or undefined when it is too old or unknown.
     */
    findTrace(requestId: string): RequestTrace | undefined {
        return this.traces.get(requestId);
    }

    /** @returns The kept traces, oldest first. */
    listTraces(): readonly RequestTrace[] {
        return [...this.traces.values()];
    }
}
