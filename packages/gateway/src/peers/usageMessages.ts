/**
 * Messages between nodes about usage: copies of counts, counts to write, and acknowledgements that counts were written.
 *
 * @packageDocumentation
 */
import type { UsageByCustomer } from "@pimentocleat/policy";
import { z } from "zod";

const requestsSchema = z.record(z.string(), z.number().nonnegative());
const windowSchema = z.object({ incarnation: z.string(), windowStartMs: z.number() });

/** Copy of counts that a node could not write. */
export const usageCopySchema = windowSchema.extend({ type: z.literal("usage"), requests: requestsSchema });

/** Counts for another node to write, and the version that the row must have before the write. */
export const forwardedUsageSchema = windowSchema.extend({
    type: z.literal("forwardedUsage"),
    version: z.number(),
    requests: requestsSchema,
});

/** Acknowledgement of forwarded counts, with the version of the row before and after the write. */
export const storedUsageSchema = windowSchema.extend({
    type: z.literal("storedUsage"),
    version: z.number(),
    newVersion: z.number(),
});

/** Message with counts for another node to write. */
export type ForwardedUsageMessage = z.infer<typeof forwardedUsageSchema>;
/** Acknowledgement that counts were written. */
export type StoredUsage = Omit<z.infer<typeof storedUsageSchema>, "type">;

/**
 * Encodes usage for a message. Only requests are counted on the users' platform.
 *
 * @param customers - Usage by customer.
 * @returns Requests by customer.
 */
export function encodeRequests(customers: UsageByCustomer): Record<string, number> {
    return Object.fromEntries(
        Object.entries(customers).map(([customer, { requests }]) => [customer, requests]),
    );
}

/**
 * Decodes usage from a message.
 *
 * @param requests - Requests by customer.
 * @returns Usage by customer.
 */
export function decodeRequests(requests: Readonly<Record<string, number>>): UsageByCustomer {
    return Object.fromEntries(
        Object.entries(requests).map(([customer, count]) => [
            customer,
            { requests: count, promptTokens: 0, completionTokens: 0 },
        ]),
    );
}
