/**
 * A node in an experiment.
 *
 * @packageDocumentation
 */
import type { PoolScheduler, RetryBudget } from "@pimentocleat/policy";

/** A node of the run. */
export interface NodeState {
    readonly name: string;
    readonly scheduler: PoolScheduler;
    readonly retryBudget: RetryBudget;
    state: "live" | "frozen" | "dead";
    /** When the balancer and the other nodes have noticed that the node is dead. */
    deathNoticedMs: number;
    /** What a frozen node finds when it wakes. */
    backlog: (() => void)[];
}
