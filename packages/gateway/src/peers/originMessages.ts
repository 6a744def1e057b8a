/**
 * Messages about the software versions at which streams began.
 *
 * @packageDocumentation
 */
import { z } from "zod";

/** Schema of the message that tells another node where a stream began. */
export const streamOriginSchema = z.object({
    type: z.literal("streamOrigin"),
    /** Identifier of the request whose response brought the first event. */
    requestId: z.string(),
    softwareVersion: z.string(),
});

/** Schema of the message that asks another node where a stream began. */
export const originQuerySchema = z.object({
    type: z.literal("originQuery"),
    /** Identifies the query at its sender. */
    query: z.number(),
    service: z.string(),
    /** Absent when the caller did not name the request. */
    requestId: z.string().optional(),
});

/** Schema of the reply to a query. */
export const originReplySchema = z.object({
    type: z.literal("originReply"),
    query: z.number(),
    /** Absent when the sender doesn't know it. */
    softwareVersion: z.string().optional(),
});

/** Schema of all messages about origins. */
export const originMessageSchema = z.discriminatedUnion("type", [
    streamOriginSchema,
    originQuerySchema,
    originReplySchema,
]);

/** A message about the origin of a stream. */
export type OriginMessage = z.infer<typeof originMessageSchema>;
