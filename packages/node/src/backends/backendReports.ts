/**
 * Formats of the load reports and cache events of backend servers; see docs/interfaces/engine.md.
 *
 * @packageDocumentation
 */
import type { CacheEvent, LoadReport } from "@pimentocleat/policy";
import { z } from "zod";

/** Answer of `GET /load`. */
export const loadAnswerSchema = z.object({
    running: z.number().nonnegative(),
    waiting: z.number().nonnegative(),
    slots: z.number().nonnegative(),
    cacheUsage: z.number().min(0).max(1).default(0),
    /** Wall time at which the figures were true, in milliseconds since the Unix epoch. */
    measuredAtMs: z.number().optional(),
});

/** Answer of `GET /cache-events`. */
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

/** Answer of `GET /cache-events`. */
export type CacheAnswer = z.infer<typeof cacheAnswerSchema>;

/**
 * Converts an answer of `GET /load`.
 *
 * @param server - The server's name.
 * @param answer - The answer.
 * @param wallMs - Wall time of its arrival, in milliseconds since the Unix epoch.
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
 * Converts an answer of `GET /cache-events`. A server whose last event is older than one seen before
 * has started anew, and its cache is empty.
 *
 * @param server - The server's name.
 * @param answer - The answer.
 * @param after - The last event seen before.
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
