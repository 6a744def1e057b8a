/**
 * The registration of a backend server.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import { hostAddressSchema } from "./hostAddress.js";

/** Maximum number of slots of one server; more would outweigh all other servers of its service. */
const maximumSlots = 100_000;
/** Latest time that a date can hold, in milliseconds since the Unix epoch. */
const latestMs = 8.64e15;
/** Maximum time for which a server may say that it stays cold, in milliseconds. */
const maximumColdMs = 24 * 3_600_000;

/** Schema of a registered backend server, in the bounds within which it can be used. */
export const registeredServerSchema = z.object({
    id: z.string(),
    /** Version of the registration; increases with each change. */
    version: z.number(),
    service: z.string().min(1),
    /** IP address and port. */
    address: hostAddressSchema,
    dataCentre: z.string().min(1),
    slots: z.number().int().min(1).max(maximumSlots),
    state: z.enum(["ready", "leaving"]),
    /** Start time of the server, in milliseconds since the Unix epoch; distinguishes restarts under one identifier. */
    bornMs: z.number().min(-latestMs).max(latestMs).optional(),
    /** Version of the server's software, not of its model; undefined when its registration names none. */
    softwareVersion: z.string().optional(),
    /** Time for which the server said that it stays cold, when it wrote the registration, in milliseconds. */
    remainingColdMs: z.number().nonnegative().max(maximumColdMs).optional().catch(undefined),
    /** Whether the platform may reclaim the server at any time. */
    isReclaimable: z.boolean(),
});

/** A registered backend server. */
export type RegisteredServer = Readonly<z.infer<typeof registeredServerSchema>>;
