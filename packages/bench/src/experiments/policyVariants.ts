/**
 * The policies that experiments compare.
 *
 * @packageDocumentation
 */
import type { PoolScheduler, SchedulerOptions } from "@pimentocleat/policy";
import { FifoScheduler, LocalSlots, TieredScheduler } from "@pimentocleat/policy";

/** A policy to compare. */
export interface PolicyVariant {
    readonly name: string;
    /** Whether one node decides for all. */
    readonly hasSingleOwner: boolean;
    readonly createScheduler: (options: SchedulerOptions, random: () => number) => PoolScheduler;
}

const choiceCount = 2;

/** First in, first out; servers in turn; each node for itself. */
export const fifoVariant: PolicyVariant = {
    name: "fifo",
    hasSingleOwner: false,
    createScheduler: (options) => new FifoScheduler(options),
};

/** Tiers, with power of two choices by reported load. */
export const twoChoicesVariant: PolicyVariant = {
    name: "two-choices",
    hasSingleOwner: false,
    createScheduler: (options, random) =>
        new TieredScheduler({
            ...options,
            createSlotPolicy: () => new LocalSlots(options.clock, choiceCount, random),
        }),
};

/** Tiers, with slots that have owners and are lent on demand. */
export const lentSlotsVariant: PolicyVariant = {
    name: "lent-slots",
    hasSingleOwner: false,
    createScheduler: (options) => new TieredScheduler(options),
};

/** Tiers, with one node that owns the pool's queue. */
export const queueOwnerVariant: PolicyVariant = {
    name: "queue-owner",
    hasSingleOwner: true,
    createScheduler: (options) =>
        new TieredScheduler({ ...options, createSlotPolicy: () => new LocalSlots(options.clock) }),
};

/** All variants, the baseline first. */
export const policyVariants = [fifoVariant, twoChoicesVariant, queueOwnerVariant, lentSlotsVariant];
