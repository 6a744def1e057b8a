/**
 * The scheduler of one node with an oracle beside it: strict tiers outside floors, and no class without starts.
 *
 * @packageDocumentation
 */
import {
    TieredScheduler,
    type CancelReason,
    type Decision,
    type OfferResult,
    type QueuedRequest,
    type SchedulerOptions,
} from "@pimentocleat/policy";

/** Longest time that a class with waiting requests goes without a start, in milliseconds. */
const maximumStarvationMs = 10_000;
/** Starts of other classes meanwhile; fewer mean that the servers fail, not that a class is passed over. */
const minimumOtherStarts = 20;

interface StarvationState {
    readonly sinceMs: number;
    otherStarts: number;
}

/** Notes what waits and throws into `onBreach` what must not be. */
export class CheckedScheduler extends TieredScheduler {
    private readonly waiting = new Map<string, QueuedRequest>();
    private readonly starvation = new Map<string, StarvationState>();

    constructor(
        private readonly checkedOptions: SchedulerOptions,
        private readonly onViolation: (breach: string) => void,
    ) {
        super(checkedOptions);
    }

    override offerRequest(request: QueuedRequest): OfferResult {
        const result = super.offerRequest(request);
        if (result.type === "queued") {
            this.waiting.set(request.requestId, request);
        }
        return result;
    }

    override cancelRequest(requestId: string, reason: CancelReason): void {
        this.waiting.delete(requestId);
        super.cancelRequest(requestId, reason);
    }

    override takeDecisions(): readonly Decision[] {
        const decisions = super.takeDecisions();
        for (const decision of decisions) {
            const request = this.waiting.get(decision.requestId);
            if (request !== undefined && (decision.type === "start" || decision.type === "refuse")) {
                this.waiting.delete(decision.requestId);
                this.checkTier(request, decision);
            }
        }
        return decisions;
    }

    /** Checks that each class with waiting requests had a start lately. */
    checkFloors(): void {
        const nowMs = this.checkedOptions.clock.monotonicMs();
        const waitingClasses = new Set([...this.waiting.values()].map((request) => request.requestClass));
        [...this.starvation.keys()]
            .filter((requestClass) => !waitingClasses.has(requestClass))
            .forEach((requestClass) => this.starvation.delete(requestClass));
        for (const requestClass of waitingClasses) {
            const state = this.starvation.get(requestClass) ?? { sinceMs: nowMs, otherStarts: 0 };
            this.starvation.set(requestClass, state);
            if (nowMs - state.sinceMs > maximumStarvationMs && state.otherStarts > minimumOtherStarts) {
                this.onViolation(`class ${requestClass} starves`);
            }
        }
    }

    /** Forgets for how long classes waited; a paused node serves nobody. */
    resetFloors(): void {
        this.starvation.clear();
    }

    private checkTier(request: QueuedRequest, decision: Decision): void {
        if (decision.type !== "start") {
            return;
        }
        this.starvation.forEach((state) => (state.otherStarts += 1));
        this.starvation.delete(request.requestClass);
        const passed = [...this.waiting.values()].some(
            (other) => readTier(other) < readTier(request) && other.excludedServers.length === 0,
        );
        if (passed && decision.byFloor !== true) {
            this.onViolation(`${request.requestClass} started before a higher tier`);
        }
    }
}

function readTier({ requestClass }: QueuedRequest): number {
    return Number(requestClass.slice(-1));
}
