/**
 * Grants places at one server, of which as many requests may be in flight as it has room for, the more urgent ones first.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { EndedWait, PermitDecision, PermitRequest, RefusedPermit } from "../serverLimits/permitQueue.js";

/** Options of a {@link PlaceQueue}. */
export interface PlaceQueueOptions {
    /** Computes how many requests may be in flight at the server. */
    readonly computeRoom: () => number;
    /** Counts the requests of all nodes that are known to be in flight there. */
    readonly countInFlight: () => number;
}

interface WaitingRequest {
    readonly request: PermitRequest;
    readonly untilMs: number;
}

/** Time after which a place counts as given back, in milliseconds; a request that takes longer is known from news. */
const heldMs = 3_000;
/** Interval at which it is checked whether a place is free, in milliseconds. */
const checkIntervalMs = 2;
/** Time over which the rate of grants is measured, in milliseconds. */
const rateWindowMs = 1_000;
/** Places a second that are assumed to become free at least; a service that was idle has granted none. */
const minimumRate = 20;
/** Longest time after which a refused caller is asked to come back, in milliseconds. */
const maximumReturnMs = 5_000;
/** Time after which a place may be asked for again after a refusal, in milliseconds. */
const refusedMs = 20;

/** The places of one server. */
export class PlaceQueue {
    private waiting: readonly WaitingRequest[] = [];
    private grantsMs: readonly number[] = [];
    /** Time of the grant by request, of the places that were not given back; the oldest first. */
    private readonly held = new Map<string, number>();

    /**
     * @param clock - The node's clock.
     * @param options - The room of the server.
     */
    constructor(
        private readonly clock: Clock,
        private options: PlaceQueueOptions,
    ) {}

    /** @param options - The room of the server, as known now. */
    updateOptions(options: PlaceQueueOptions): void {
        this.options = options;
    }

    /**
     * Decides on a request.
     *
     * @param request - The request.
     * @returns The decision; a request that would probably wait for longer than its patience is refused at once.
     */
    offer(request: PermitRequest): PermitDecision {
        const ahead = this.waiting.filter((other) => other.request.priority <= request.priority).length;
        if (this.waiting.length === 0 && this.tryGrant(request)) {
            return { type: "granted" };
        }
        if (this.estimateWaitMs(ahead + 1) > request.patienceMs) {
            return this.buildRefusal();
        }
        const untilMs = this.clock.monotonicMs() + request.patienceMs;
        this.waiting = [...this.waiting, { request, untilMs }].sort(
            (left, right) => left.request.priority - right.request.priority,
        );
        return { type: "waiting" };
    }

    /** @returns The requests whose wait has ended now. */
    takeEnded(): readonly EndedWait[] {
        const nowMs = this.clock.monotonicMs();
        const ended: EndedWait[] = [];
        this.waiting = this.waiting.filter(({ request, untilMs }) => {
            const decision = this.tryGrant(request)
                ? ({ type: "granted" } as const)
                : untilMs <= nowMs
                  ? this.buildRefusal()
                  : undefined;
            if (decision !== undefined) {
                ended.push({ id: request.id, decision });
            }
            return decision === undefined;
        });
        return ended;
    }

    /** @param id - A request that no longer needs its place. */
    release(id: string): void {
        this.held.delete(id);
    }

    /** @returns Whether nothing waits and nothing was granted lately. */
    isIdle(): boolean {
        const nowMs = this.clock.monotonicMs();
        return this.waiting.length === 0 && this.grantsMs.every((atMs) => nowMs - atMs >= rateWindowMs);
    }

    /** @returns Time until the waits are checked again, in milliseconds; undefined when none waits. */
    computeNextEndMs(): number | undefined {
        return this.waiting.length === 0 ? undefined : checkIntervalMs;
    }

    private tryGrant({ id: requestId }: PermitRequest): boolean {
        const nowMs = this.clock.monotonicMs();
        this.grantsMs = this.grantsMs.filter((atMs) => nowMs - atMs < rateWindowMs);
        for (const [id, atMs] of this.held) {
            if (nowMs - atMs >= heldMs) {
                this.held.delete(id);
            }
        }
        const { computeRoom, countInFlight } = this.options;
        if (Math.max(this.held.size, countInFlight()) >= computeRoom()) {
            return false;
        }
        this.grantsMs = [...this.grantsMs, nowMs];
        this.held.set(requestId, nowMs);
        return true;
    }

    private buildRefusal(): RefusedPermit {
        const returnMs = Math.min(maximumReturnMs, this.estimateWaitMs(this.waiting.length + 1));
        return { type: "refused", nextMs: refusedMs, returnMs: Math.max(refusedMs, returnMs) };
    }

    /** Estimates the time until so many places have become free, from the rate of the last second, in milliseconds. */
    private estimateWaitMs(places: number): number {
        return (places / Math.max(minimumRate, this.grantsMs.length)) * rateWindowMs;
    }
}
