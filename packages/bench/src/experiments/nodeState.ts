/**
 * The state of a simulated node.
 *
 * @packageDocumentation
 */
import type { PoolScheduler, RetryBudget } from "@pimentocleat/policy";

/** A simulated node. */
export interface NodeState {
    readonly name: string;
    readonly scheduler: PoolScheduler;
    readonly retryBudget: RetryBudget;
    state: "live" | "frozen" | "dead";
    /**
     * Monotonic time from which the load balancer no longer sends requests to the dead node, in
     * milliseconds; `Infinity` unless the node is dead.
     */
    deathNoticedMs: number;
    /** Arrivals and engine events that a frozen node handles once it resumes. */
    backlog: (() => void)[];
}
