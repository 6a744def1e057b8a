/**
 * Grants requests to one server at the rate that it allows, the more urgent ones first.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** A request that needs a permit. */
export interface PermitRequest {
    /** Identifies the request among those of all nodes. */
    readonly id: string;
    /** The lowest number is the most urgent. */
    readonly priority: number;
    /** Time for which the request may wait, in milliseconds. */
    readonly patienceMs: number;
}

/** Whether a request may be sent. */
export type PermitDecision =
    | { readonly type: "granted" }
    /** It is granted or refused later. */
    | { readonly type: "waiting" }
    | RefusedPermit;

/** A request that may not be sent. */
export interface RefusedPermit {
    readonly type: "refused";
    /** Time after which a request of this priority may be granted, in milliseconds. */
    readonly nextMs: number;
    /** Time after which the caller of this request should come back, in milliseconds. */
    readonly returnMs: number;
}

/** A waiting request that was granted, or whose patience has ended. */
export interface EndedWait {
    readonly id: string;
    readonly decision: PermitDecision;
}

interface WaitingPermit {
    readonly request: PermitRequest;
    readonly untilMs: number;
}

/** Time over which unused permits add up, in seconds; one request at least. */
export const permitDepthSeconds = 0.25;
/** Longest time after which a refused caller is asked to come back, in milliseconds. */
const maximumReturnMs = 10_000;
const millisecondsPerSecond = 1_000;

/** The permits of one server. */
export class PermitQueue {
    /** Permits that can be granted now; below one when the next one is still to come. */
    private level = 0;
    private updatedMs: number;
    private waiting: readonly WaitingPermit[] = [];
    /** Refused callers that will come back, less those whose turn has passed. */
    private refused = 0;

    /**
     * @param clock - The node's clock.
     * @param perSecond - The limit, in requests per second.
     */
    constructor(
        private readonly clock: Clock,
        private perSecond: number,
    ) {
        this.updatedMs = clock.monotonicMs();
    }

    /** @param perSecond - The limit, in requests per second. */
    updateLimit(perSecond: number): void {
        this.updateLevel();
        this.perSecond = perSecond;
        this.level = Math.min(this.level, this.computeDepth());
    }

    /**
     * Decides on a request.
     *
     * @param request - The request.
     * @returns The decision; a request that would wait for longer than its patience is refused at once.
     */
    offer(request: PermitRequest): PermitDecision {
        this.updateLevel();
        const ahead = this.waiting.filter((other) => other.request.priority <= request.priority).length;
        if (ahead === 0 && this.waiting.length === 0 && this.level >= 1) {
            this.level -= 1;
            return { type: "granted" };
        }
        const waitMs = this.computeWaitMs(ahead + 1);
        if (waitMs > request.patienceMs) {
            return this.refuse(waitMs);
        }
        const untilMs = this.clock.monotonicMs() + request.patienceMs;
        this.waiting = [...this.waiting, { request, untilMs }].sort(
            (left, right) => left.request.priority - right.request.priority,
        );
        return { type: "waiting" };
    }

    /** @returns The requests whose wait has ended now. */
    takeEnded(): readonly EndedWait[] {
        this.updateLevel();
        const nowMs = this.clock.monotonicMs();
        const granted = this.waiting.slice(0, Math.floor(this.level));
        this.level -= granted.length;
        const rest = this.waiting.slice(granted.length);
        const expired = rest.filter(({ untilMs }) => untilMs <= nowMs);
        this.waiting = rest.filter(({ untilMs }) => untilMs > nowMs);
        return [
            ...granted.map(({ request: { id } }) => ({ id, decision: { type: "granted" } as const })),
            ...expired.map(({ request: { id } }) => ({ id, decision: this.refuse(this.computeWaitMs(1)) })),
        ];
    }

    /** @returns Time until the wait of a request ends, in milliseconds; undefined when none waits. */
    computeNextEndMs(): number | undefined {
        if (this.waiting.length === 0) {
            return undefined;
        }
        this.updateLevel();
        const expiryMs = Math.min(...this.waiting.map(({ untilMs }) => untilMs)) - this.clock.monotonicMs();
        return Math.max(0, Math.min(expiryMs, this.computeWaitMs(1)));
    }

    private refuse(nextMs: number): RefusedPermit {
        const returnMs = Math.max(nextMs, (this.refused / this.perSecond) * millisecondsPerSecond);
        this.refused += 1;
        return { type: "refused", nextMs, returnMs: Math.min(maximumReturnMs, returnMs) };
    }

    /** Computes the time until so many permits have come, in milliseconds. */
    private computeWaitMs(permits: number): number {
        return Math.max(0, ((permits - this.level) / this.perSecond) * millisecondsPerSecond);
    }

    private computeDepth(): number {
        return Math.max(1, this.perSecond * permitDepthSeconds);
    }

    private updateLevel(): void {
        const nowMs = this.clock.monotonicMs();
        const gain = ((nowMs - this.updatedMs) / millisecondsPerSecond) * this.perSecond;
        this.updatedMs = nowMs;
        this.level = Math.min(this.computeDepth(), this.level + gain);
        this.refused = Math.max(0, this.refused - gain);
    }
}
