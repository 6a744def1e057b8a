/**
 * The policies that experiments compare.
 *
 * @packageDocumentation
 */
import type { PoolScheduler, SchedulerOptions } from "@pimentocleat/policy";
import { FifoScheduler, LocalSlots, TieredScheduler } from "@pimentocleat/policy";

/** A scheduling policy to compare. */
export interface PolicyVariant {
    readonly name: string;
    /** Whether all requests go to one node, which makes every decision. */
    readonly hasSingleOwner: boolean;
    readonly createScheduler: (options: SchedulerOptions, random: () => number) => PoolScheduler;
}

/** Number of random servers that a node considers in a round of decisions. */
const choiceCount = 2;

/** Baseline: first in, first out, round-robin over the servers, with no coordination between nodes. */
export const fifoVariant: PolicyVariant = {
    name: "fifo",
    hasSingleOwner: false,
    createScheduler: (options) => new FifoScheduler(options),
};

/** Tiers, with power of two choices: each node considers two random servers by their reported load. */
export const twoChoicesVariant: PolicyVariant = {
    name: "two-choices",
    hasSingleOwner: false,
    createScheduler: (options, random) =>
        new TieredScheduler({
            ...options,
            createSlotPolicy: () => new LocalSlots(options.clock, choiceCount, random),
        }),
};

/** Tiers; each slot is owned by one node, which lends it to other nodes on demand. */
export const lentSlotsVariant: PolicyVariant = {
    name: "lent-slots",
    hasSingleOwner: false,
    createScheduler: (options) => new TieredScheduler(options),
};

/** Tiers; one node owns the queue of the whole pool. */
export const queueOwnerVariant: PolicyVariant = {
    name: "queue-owner",
    hasSingleOwner: true,
    createScheduler: (options) =>
        new TieredScheduler({ ...options, createSlotPolicy: () => new LocalSlots(options.clock) }),
};

/** All variants, with the baseline first. */
export const policyVariants = [fifoVariant, twoChoicesVariant, queueOwnerVariant, lentSlotsVariant];
