/**
 * Messages about servers that said in a response that they leave. The store may say so later, or not at all.
 *
 * @packageDocumentation
 */
import { z } from "zod";

/** Schema of the message. */
export const leavingMessageSchema = z.object({
    type: z.literal("serverLeaving"),
    serverId: z.string(),
    /** Start of the server, in milliseconds since the Unix epoch; absent when its registration names none. */
    bornMs: z.number().optional(),
});

/** A message about a server that leaves. */
export type LeavingMessage = z.infer<typeof leavingMessageSchema>;
