/**
 * The interface for copies of a node's usage on another node, which protect the usage between writes to the table
 * service.
 *
 * @packageDocumentation
 */
import type { UsageByCustomer } from "@pimentocleat/policy";

/** The cumulative usage of one incarnation of a node in one window. */
export interface UsageCopy {
    readonly incarnation: string;
    /** Start of the window, in milliseconds since the Unix epoch. */
    readonly windowStartMs: number;
    readonly customers: UsageByCustomer;
}

/** Receives copies. Copies are merged by maximum, so late or repeated copies have no effect. */
export interface UsageCopySink {
    /**
     * Stores a copy.
     *
     * @param copy - The copy.
     * @returns Resolves when the other node has stored the copy; rejects when that is not certain.
     */
    storeCopy(copy: UsageCopy): Promise<void>;
}
