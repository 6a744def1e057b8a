/**
 * The stored intent of an order: what is wanted, before it is sent.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { ServerOrder } from "@pimentocleat/services";

/** Table that holds the intents. */
export const orderTable = "orders";

/** What an intent's row holds. */
export const orderIntentSchema = z.object({
    pool: z.string(),
    dataCentre: z.string(),
    reclaimable: z.boolean(),
    count: z.int().nonnegative(),
    /** Grows with each change of the wanted state, whoever changes it. */
    generation: z.int().positive(),
});

/** What an intent's row holds. */
export type OrderIntent = z.infer<typeof orderIntentSchema>;

/** What is wanted, without its history. */
export type DesiredServers = Pick<ServerOrder, "pool" | "dataCentre" | "reclaimable" | "count">;

/**
 * Formats the prefix of the keys of a pool's intents.
 *
 * @param pool - The pool.
 * @returns The prefix.
 */
export function formatOrderPrefix(pool: string): string {
    return `${pool}/`;
}

/**
 * Formats the key of an intent.
 *
 * @param wanted - Pool, data centre and kind.
 * @returns The key.
 */
export function formatOrderKey(wanted: Omit<DesiredServers, "count">): string {
    const kind = wanted.reclaimable ? "reclaimable" : "standard";
    return `${formatOrderPrefix(wanted.pool)}${wanted.dataCentre}/${kind}`;
}
