/**
 * What every scheduler of a pool is built from.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { SlotPolicy } from "../capacity/slotPolicy.js";
import type { FloorEnforcer } from "../fairness/floorEnforcer.js";
import type { PoolConfiguration } from "./poolScheduler.js";
import type { QueueOrder } from "./queueOrder.js";

/** Options of a scheduler. */
export interface SchedulerOptions {
    readonly configuration: PoolConfiguration;
    /** Source of time; a manual clock in tests. */
    readonly clock: Clock;
    /** Name of this node, unique among the nodes that share the pool. */
    readonly node: string;
    /** Builds another slot policy than the default; for comparisons. */
    readonly createSlotPolicy?: () => SlotPolicy;
    /** Builds another order than the default; for comparisons. */
    readonly createOrder?: (floors: FloorEnforcer) => QueueOrder;
}
