/**
 * Messages about the limits that servers name, and about permits for requests to such servers.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { ColdReport, LimitReport } from "@pimentocleat/policy";

const limitReportSchema = z.object({
    serverId: z.string(),
    bornMs: z.number().optional(),
    perSecond: z.number().optional(),
    ageMs: z.number(),
}) satisfies z.ZodType<LimitReport>;

const coldReportSchema = z.object({
    serverId: z.string(),
    bornMs: z.number().optional(),
    ageMs: z.number(),
    aliveAgeMs: z.number().optional(),
}) satisfies z.ZodType<ColdReport>;

/** Schema of all messages about limits. */
export const limitMessageSchema = z.discriminatedUnion("type", [
    /**
     * Tells what servers said. Without reports it tells that its sender grants places; earlier releases can read that
     * and do not send it.
     */
    z.object({
        type: z.literal("serverLimits"),
        reports: z.array(limitReportSchema),
        /** Servers that may be cold; absent from nodes of earlier releases. */
        cold: z.array(coldReportSchema).optional(),
    }),
    /**
     * Asks for a permit for a server that may be cold. A type of its own: a node of an earlier release cannot read it and
     * does not reply, where it would grant a permit for a server without a limit at once.
     */
    z.object({
        type: z.literal("coldPermitRequest"),
        /** Identifies the request at its sender. */
        request: z.number(),
        serverId: z.string(),
        /** Rate of permits while the server is cold. */
        perSecond: z.number().positive(),
        /** What the sender knows of a limit that the server names; absent without one. */
        report: limitReportSchema.optional(),
        priority: z.number(),
        patienceMs: z.number().nonnegative(),
    }),
    /** Asks the node that keeps a server's permits for one. */
    z.object({
        type: z.literal("permitRequest"),
        /** Identifies the request at its sender. */
        request: z.number(),
        /** What the sender knows of the limit. */
        report: limitReportSchema,
        priority: z.number(),
        patienceMs: z.number().nonnegative(),
    }),
    /** Asks the node that keeps the places of a brittle service's server for one. */
    z.object({
        type: z.literal("placeRequest"),
        /** Identifies the request at its sender. */
        request: z.number(),
        serverId: z.string(),
        /** Rejections in a second that the server bears. */
        allowed: z.number().nonnegative(),
        priority: z.number(),
        patienceMs: z.number().nonnegative(),
    }),
    /** Gives a place back. */
    z.object({ type: z.literal("placeRelease"), request: z.number(), serverId: z.string() }),
    /** Tells that a server of a brittle service rejected a request for want of room. */
    z.object({ type: z.literal("serverFull"), service: z.string(), serverId: z.string() }),
    /** Grants a permit, or refuses it with the times until the next one and until the caller should come back. */
    z.object({
        type: z.literal("permitReply"),
        request: z.number(),
        refused: z.object({ nextMs: z.number(), returnMs: z.number() }).optional(),
    }),
]);

/** A message about limits. */
export type LimitMessage = z.infer<typeof limitMessageSchema>;

/**
 * Checks whether a message shows that its sender can grant places; nodes of earlier releases know limits alone.
 *
 * @param message - The message.
 * @returns Whether only nodes that can grant places send it.
 */
export function isAboutPlaces(message: LimitMessage): boolean {
    switch (message.type) {
        case "placeRequest":
        case "placeRelease":
        case "serverFull":
            return true;
        case "coldPermitRequest":
            return true;
        case "serverLimits":
            return message.reports.length === 0;
        case "permitRequest":
        case "permitReply":
            return false;
    }
}
