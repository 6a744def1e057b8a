/**
 * The stored intent of an order: the desired state, written before the order is sent.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { ServerOrder } from "@pimentocleat/services";

/** Name of the table that holds the intents. */
export const orderTable = "orders";

/** Schema of an intent row. */
export const orderIntentSchema = z.object({
    pool: z.string(),
    dataCentre: z.string(),
    reclaimable: z.boolean(),
    count: z.int().nonnegative(),
    /** Increases with each change of the desired state, regardless of which node changes it. */
    generation: z.int().positive(),
    /** Number of servers that the pool needs in all, from which the next holder of the duty plans. */
    baseline: z.number().nonnegative().optional(),
});

/** The content of an intent row. */
export type OrderIntent = z.infer<typeof orderIntentSchema>;

/** The desired number of servers of one kind, without its generation. */
export type DesiredServers = Pick<ServerOrder, "pool" | "dataCentre" | "reclaimable" | "count"> &
    Pick<OrderIntent, "baseline">;

/**
 * Formats the common prefix of the keys of a pool's intents.
 *
 * @param pool - Name of the pool.
 * @returns The prefix.
 */
export function formatOrderPrefix(pool: string): string {
    return `${pool}/`;
}

/**
 * Formats the key of an intent.
 *
 * @param desired - Pool, data centre and kind of the servers.
 * @returns The key.
 */
export function formatOrderKey(desired: Omit<DesiredServers, "count">): string {
    const kind = desired.reclaimable ? "reclaimable" : "standard";
    return `${formatOrderPrefix(desired.pool)}${desired.dataCentre}/${kind}`;
}
