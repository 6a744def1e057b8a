/**
 * What every scheduler of a pool is built from.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { PoolConfiguration } from "./poolScheduler.js";

/** Options of a scheduler. */
export interface SchedulerOptions {
    readonly configuration: PoolConfiguration;
    /** Source of time; a manual clock in tests. */
    readonly clock: Clock;
    /** Name of this node, unique among the nodes that share the pool. */
    readonly node: string;
}
