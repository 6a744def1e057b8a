/**
 * Copies of a node's usage on another node, between writes to the table service.
 *
 * @packageDocumentation
 */
import type { UsageByCustomer } from "@pimentocleat/policy";

/** Cumulative usage of one incarnation in one window. */
export interface UsageCopy {
    readonly incarnation: string;
    /** Start of the window, in milliseconds since the Unix epoch. */
    readonly windowStartMs: number;
    readonly customers: UsageByCustomer;
}

/** Receives copies; a copy that comes late or twice does no harm, because copies are merged by maximum. */
export interface UsageCopySink {
    /**
     * Keeps a copy.
     *
     * @param copy - The copy.
     * @returns Resolves when the other node has it; rejects when that is not known.
     */
    storeCopy(copy: UsageCopy): Promise<void>;
}
