/**
 * Formats of the load reports and cache events that backend servers return; see docs/interfaces/engine.md.
 *
 * @packageDocumentation
 */
import type { CacheEvent, LoadReport } from "@pimentocleat/policy";
import { z } from "zod";

/** Response to `GET /load`. */
export const loadAnswerSchema = z.object({
    running: z.number().nonnegative(),
    waiting: z.number().nonnegative(),
    slots: z.number().nonnegative(),
    cacheUsage: z.number().min(0).max(1).default(0),
    /** Wall time of the measurement, in milliseconds since the Unix epoch. */
    measuredAtMs: z.number().optional(),
});

/** Response to `GET /cache-events`. */
export const cacheAnswerSchema = z.object({
    events: z.array(
        z.object({
            sequence: z.number(),
            kind: z.enum(["stored", "evicted"]),
            blocks: z.array(z.string()),
        }),
    ),
    lastSequence: z.number(),
});

/** Response to `GET /cache-events`. */
export type CacheAnswer = z.infer<typeof cacheAnswerSchema>;

/**
 * Converts a response to `GET /load`.
 *
 * @param server - Name of the server.
 * @param answer - The response.
 * @param wallMs - Wall time at which it arrived, in milliseconds since the Unix epoch.
 * @returns The report for the scheduler.
 */
export function convertLoadAnswer(
    server: string,
    answer: z.infer<typeof loadAnswerSchema>,
    wallMs: number,
): LoadReport {
    return {
        server,
        runningRequests: answer.running,
        waitingRequests: answer.waiting,
        slots: answer.slots,
        cacheUsage: answer.cacheUsage,
        ageMs: Math.max(0, wallMs - (answer.measuredAtMs ?? wallMs)),
    };
}

/**
 * Converts a response to `GET /cache-events`. A server whose last sequence number is below `after` has
 * restarted and its cache is empty.
 *
 * @param server - Name of the server.
 * @param answer - The response.
 * @param after - Sequence number of the last event received before.
 * @returns The events for the scheduler.
 */
export function convertCacheAnswer(
    server: string,
    answer: CacheAnswer,
    after: number,
): readonly CacheEvent[] {
    if (answer.lastSequence < after) {
        return [{ server, sequence: 0, stored: [], removed: [], cleared: true }];
    }
    return answer.events.map(({ sequence, kind, blocks }) => ({
        server,
        sequence,
        stored: kind === "stored" ? blocks : [],
        removed: kind === "evicted" ? blocks : [],
        cleared: false,
    }));
}
