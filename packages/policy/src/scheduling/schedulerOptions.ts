/**
 * Construction options shared by all pool schedulers.
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
    /** The source of time; tests use a manual clock. */
    readonly clock: Clock;
    /** Name of this node, unique among the nodes that share the pool. */
    readonly node: string;
    /** Builds a slot policy that replaces the default, to compare policies. */
    readonly createSlotPolicy?: () => SlotPolicy;
    /** Builds a queue order that replaces the default, to compare orders. */
    readonly createOrder?: (floors: FloorEnforcer) => QueueOrder;
}
