/**
 * Holds requests at their node while no server has capacity for them, where the servers of their service report a pace.
 *
 * @packageDocumentation
 */
import type {
    AdmissionDecision,
    AdmissionRequest,
    FinalDecision,
    OverloadControl,
    ServiceLoad,
    StartEstimate,
} from "@pimentocleat/policy";
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import { AdmissionRecorder, type RecordedRequest } from "./admissionRecorder.js";
import { computePriority } from "./gatewayRequest.js";
import { minimumRemainingMs, type RunState } from "./runState.js";

/** Options of an {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
    readonly control: OverloadControl;
    /** Whether requests of a service may wait or be refused. */
    readonly isControlled: (service: string) => boolean;
    readonly estimateStart: (state: RunState) => StartEstimate | undefined;
    readonly readLoad: (state: RunState) => ServiceLoad;
    readonly clock: WaitingClock;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** What became of a request that asked to start. */
export type AdmissionResult =
    | { readonly type: "admitted" }
    /** The caller should come back after the given time. */
    | { readonly type: "refused"; readonly returnMs: number }
    /** Its caller disconnected, or its deadline has passed. */
    | { readonly type: "cancelled" };

/** A request that waits. */
interface WaitingEntry extends RecordedRequest {
    readonly state: RunState;
    readonly finish: (result: AdmissionResult) => void;
    /** Whether it waits for a slot or memory, and less urgent requests therefore may not go first. */
    needsRoom: boolean;
    /** Time at which it is decided again although nothing changed, in monotonic milliseconds. */
    untilMs: number;
}

/**
 * Time between two decisions about waiting requests, in milliseconds. Load changes with the news of other nodes, which
 * this node does not follow one by one: a decision compares the servers and costs more than it gains. It is short beside
 * the wait that costs callers nothing, an eighth of a target (152 ms for the shortest target of a stream).
 */
const pollMs = 50;
/** Time until the next decision after a start, in milliseconds; the dispatch is recorded in between. */
const recordedMs = 1;
/** Maximum number of decisions at once; each compares the servers, which took about 0.2 ms in the simulation. */
const maximumDecisions = 16;
/** Maximum number of waiting requests, a multiple of those expected at one node (1). */
const maximumEntries = 256;
/** Maximum size of the bodies of waiting requests, in bytes; a node of 210 MB uses about 73 MB itself. */
const maximumBytes = 16 * 1_024 * 1_024;
/** Time by which a caller's time is shorter than usual when it comes back after a refusal, in milliseconds. */
const returningMs = 30;

const admitted: AdmissionResult = { type: "admitted" };

/** Decides about requests, and holds those that wait. */
export class AdmissionQueue {
    /** In the order in which they start. */
    private readonly entries: WaitingEntry[] = [];
    private waitingBytes = 0;
    private isPolling = false;

    private readonly recorder: AdmissionRecorder;

    /** @param options - The decision, its inputs and recorders. */
    constructor(private readonly options: AdmissionQueueOptions) {
        this.recorder = new AdmissionRecorder(options);
    }

    /** @returns The number of requests that wait. */
    countWaiting(): number {
        return this.entries.length;
    }

    /**
     * Waits until a request may start.
     *
     * @param state - State of the request; its `cancelWait` ends the wait.
     * @returns What became of the request.
     */
    waitForStart(state: RunState): Promise<AdmissionResult> {
        const { service } = state.request;
        if (state.isCancelled) {
            return Promise.resolve({ type: "cancelled" });
        }
        // A stream that is resumed within its response would break off if it waited.
        if (state.answer.isStarted || !this.options.isControlled(service)) {
            return Promise.resolve(admitted);
        }
        return new Promise((resolve) => {
            const entry = this.buildEntry(state, resolve);
            const decision = this.chooseAdmission(entry, this.findBlockedPriority(service));
            if (decision.type === "wait") {
                this.addEntry(entry, decision);
            } else {
                this.applyDecision(entry, decision);
            }
        });
    }

    /** Decides about the waiting requests again because an own request has ended. */
    recordChange(): void {
        if (this.entries.length > 0) {
            this.advance();
        }
    }

    private buildEntry(state: RunState, resolve: (result: AdmissionResult) => void): WaitingEntry {
        const sinceMs = this.readNowMs();
        const entry: WaitingEntry = {
            state,
            service: state.request.service,
            admission: this.buildAdmission(state),
            sinceMs,
            finish: (result) => {
                state.cancelWait = undefined;
                this.removeEntry(entry);
                resolve(result);
            },
            needsRoom: false,
            untilMs: sinceMs,
        };
        state.cancelWait = () => entry.finish({ type: "cancelled" });
        return entry;
    }

    private buildAdmission(state: RunState): AdmissionRequest {
        const { request, attemptCount } = state;
        const { head, route, customer, arrivedMs, deadlineMs } = request;
        const { promptTokens } = head;
        // No node remembers a refusal: a caller that comes back is known by the time that it has left.
        const isShortened = deadlineMs - arrivedMs < route.timeoutMs - returningMs;
        return {
            requestId: head.requestId,
            kind: route.name,
            customer: customer?.name,
            priority: computePriority(request),
            promptTokens,
            sizeRank: this.options.control.recordArrival(route.name, promptTokens),
            arrivedMs,
            deadlineMs,
            targetMs: route.targetMs,
            pauseTargetMs: route.pauseTargetMs,
            isReturning: attemptCount > 0 || isShortened,
            isResumption: head.lastEventId !== undefined,
        };
    }

    /** Finds the priority above which no request of a service starts because a more urgent one lacks room. */
    private findBlockedPriority(service: string): number {
        const blocking = this.entries.find((entry) => entry.needsRoom && entry.service === service);
        return blocking?.admission.priority ?? Number.POSITIVE_INFINITY;
    }

    private chooseAdmission(entry: WaitingEntry, blockedPriority: number): AdmissionDecision {
        const { control, estimateStart, readLoad } = this.options;
        const { state, admission } = entry;
        const estimate = estimateStart(state);
        const decision = control.chooseAdmission(admission, estimate, () => readLoad(state));
        const nowMs = this.readNowMs();
        // A request that is late already no longer lets others go first, since it may not start at all otherwise.
        const isBlocked =
            admission.priority > blockedPriority && nowMs < admission.arrivedMs + admission.targetMs;
        return isBlocked && decision.type === "start" && decision.reason === "room"
            ? { type: "wait", reason: "streams", untilMs: nowMs + pollMs }
            : decision;
    }

    private addEntry(entry: WaitingEntry, decision: AdmissionDecision & { readonly type: "wait" }): void {
        const { control } = this.options;
        const index = this.entries.findIndex(
            ({ admission }) => control.compareRequests(entry.admission, admission) < 0,
        );
        this.entries.splice(index < 0 ? this.entries.length : index, 0, entry);
        this.waitingBytes += countBytes(entry);
        updateEntry(entry, decision);
        this.recorder.recordWait(entry, decision);
        this.removeExcess();
        this.startPolling();
    }

    /** Ends the wait of the last requests while there are too many; in a calm service they start. */
    private removeExcess(): void {
        while (this.entries.length > maximumEntries || this.waitingBytes > maximumBytes) {
            const last = this.entries.at(-1);
            if (last === undefined) {
                return;
            }
            const decision = this.options.control.chooseAtLimit(last.admission, () =>
                this.options.readLoad(last.state),
            );
            this.applyDecision(last, decision);
        }
    }

    private startPolling(): void {
        if (!this.isPolling) {
            this.isPolling = true;
            void this.run();
        }
    }

    private async run(): Promise<void> {
        let waitMs = pollMs;
        while (this.entries.length > 0) {
            await this.options.clock.wait(waitMs);
            waitMs = this.advance() ? recordedMs : pollMs;
        }
        this.isPolling = false;
    }

    /**
     * Decides about the waiting requests, in their order. Only one request of a service starts at a time, since the room
     * that it takes is known only after its dispatch.
     *
     * @returns Whether a request started.
     */
    private advance(): boolean {
        const startedServices = new Set<string>();
        let decisions = 0;
        for (const entry of [...this.entries]) {
            const { service } = entry;
            if (this.finishExpired(entry) || startedServices.has(service)) {
                continue;
            }
            const isDue = this.readNowMs() >= entry.untilMs;
            if (decisions >= maximumDecisions && !isDue) {
                continue;
            }
            decisions += 1;
            const decision = this.chooseAdmission(entry, this.findBlockedPriority(service));
            if (decision.type === "wait") {
                updateEntry(entry, decision);
                continue;
            }
            if (decision.type === "start") {
                startedServices.add(service);
            }
            this.applyDecision(entry, decision);
        }
        return startedServices.size > 0;
    }

    /** After a pause of the process, deadlines may have passed without a timer having run. */
    private finishExpired(entry: WaitingEntry): boolean {
        const isExpired = this.readNowMs() >= entry.admission.deadlineMs - minimumRemainingMs;
        if (isExpired || entry.state.isCancelled) {
            entry.finish({ type: "cancelled" });
            return true;
        }
        return false;
    }

    private applyDecision(entry: WaitingEntry, decision: FinalDecision): void {
        const { control, readLoad } = this.options;
        if (decision.type === "start") {
            control.recordStart(entry.admission);
            this.recorder.recordStart(entry, decision, this.entries.includes(entry));
            entry.finish(admitted);
            return;
        }
        control.recordRefusal(entry.admission);
        this.recorder.recordRefusal(entry, decision, readLoad(entry.state));
        entry.finish({ type: "refused", returnMs: decision.returnMs });
    }

    private removeEntry(entry: WaitingEntry): void {
        const index = this.entries.indexOf(entry);
        if (index >= 0) {
            this.entries.splice(index, 1);
            this.waitingBytes -= countBytes(entry);
        }
    }

    private readNowMs(): number {
        return this.options.clock.monotonicMs();
    }
}

function updateEntry(entry: WaitingEntry, decision: AdmissionDecision & { readonly type: "wait" }): void {
    entry.needsRoom = decision.reason === "room";
    entry.untilMs = decision.untilMs;
}

function countBytes({ state }: WaitingEntry): number {
    return state.request.body?.length ?? 0;
}
