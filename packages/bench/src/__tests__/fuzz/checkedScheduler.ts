/**
 * Scheduler of one node with an oracle, which checks that higher tiers start first except for guaranteed minimum
 * shares (floors), and that no class with waiting requests is starved.
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

/** Maximum time that a class with waiting requests may go without a start, in milliseconds. */
const maximumStarvationMs = 10_000;
/** Minimum starts of other classes in that time; fewer indicate failing servers, not a starved class. */
const minimumOtherStarts = 20;

/** Since when a class has waited without a start, and how many requests of other classes started since. */
interface StarvationState {
    readonly sinceMs: number;
    otherStarts: number;
}

/** Records the waiting requests and reports violations to `onViolation`. */
export class CheckedScheduler extends TieredScheduler {
    private readonly waiting = new Map<string, QueuedRequest>();
    private readonly starvation = new Map<string, StarvationState>();

    constructor(
        private readonly checkedOptions: SchedulerOptions,
        private readonly onViolation: (violation: string) => void,
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

    /** Checks that no class with waiting requests has gone without a start for too long. */
    checkStarvation(): void {
        const nowMs = this.checkedOptions.clock.monotonicMs();
        const waitingClasses = new Set([...this.waiting.values()].map((request) => request.requestClass));
        [...this.starvation.keys()]
            .filter((requestClass) => !waitingClasses.has(requestClass))
            .forEach((requestClass) => this.starvation.delete(requestClass));
        for (const requestClass of waitingClasses) {
            const state = this.starvation.get(requestClass) ?? { sinceMs: nowMs, otherStarts: 0 };
            this.starvation.set(requestClass, state);
            if (nowMs - state.sinceMs > maximumStarvationMs && state.otherStarts > minimumOtherStarts) {
                this.onViolation(`class ${requestClass} starves: it has waiting requests but no starts`);
            }
        }
    }

    /** Restarts the measured waiting times of all classes, since a paused node starts no requests. */
    resetStarvation(): void {
        this.starvation.clear();
    }

    private checkTier(request: QueuedRequest, decision: Decision): void {
        if (decision.type !== "start") {
            return;
        }
        this.starvation.forEach((state) => (state.otherStarts += 1));
        this.starvation.delete(request.requestClass);
        const isHigherTierWaiting = [...this.waiting.values()].some(
            (other) => readTier(other) < readTier(request) && other.excludedServers.length === 0,
        );
        if (isHigherTierWaiting && decision.byFloor !== true) {
            this.onViolation(`${request.requestClass} started before a higher tier`);
        }
    }
}

function readTier({ requestClass }: QueuedRequest): number {
    return Number(requestClass.slice(-1));
}
