/**
 * Messages about where streams began.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { StreamOrigin } from "@pimentocleat/policy";

const originSchema = z.object({
    service: z.string(),
    softwareVersion: z.string().optional(),
}) satisfies z.ZodType<StreamOrigin>;

/** Schema of all messages about origins. */
export const originMessageSchema = z.discriminatedUnion("type", [
    /** Tells another node where a stream began. */
    z.object({
        type: z.literal("streamOrigin"),
        /** Identifier of the request whose response brought the first event. */
        requestId: z.string(),
        origin: originSchema,
    }),
    /** Asks another node where a stream began. */
    z.object({
        type: z.literal("originQuery"),
        /** Identifies the query at its sender. */
        query: z.number(),
        /** Services at which the stream may have begun. */
        services: z.array(z.string()),
        /** Absent when the caller did not name the request. */
        requestId: z.string().optional(),
    }),
    /** Replies to a query. */
    z.object({
        type: z.literal("originReply"),
        query: z.number(),
        /** Absent when the sender doesn't know it. */
        origin: originSchema.optional(),
        /**
         * Whether the sender was told where this stream began, rather than that it has seen only one version lately. Nodes
         * of earlier releases do not say it.
         */
        isRecorded: z.boolean().optional(),
    }),
]);

/** A message about the origin of a stream. */
export type OriginMessage = z.infer<typeof originMessageSchema>;
