/**
 * Computes when a refused caller should come back.
 *
 * @packageDocumentation
 */
import { computeRendezvousWeight } from "../hashing/rendezvousWeight.js";

/** Shortest time after which a caller is asked to come back, in milliseconds; a few round trips and decoding steps. */
const minimumReturnMs = 40;
/** Share of the time that a caller has left up to which it honours the time to come back. */
const maximumReturnShare = 1 / 3;
/** Number of values of a rendezvous weight. */
const weightRange = 2 ** 32;

/**
 * Computes the time after which a caller should come back. The hash of the identifier spreads callers from the time at
 * which the backlog is done, but at least over half of the time for which they wait, so that nodes need not agree and
 * callers that are refused together do not return together.
 *
 * @param requestId - Identifier of the refused request.
 * @param backlogMs - Predicted time until the servers have room, in milliseconds.
 * @param remainingMs - Time that the caller has left, in milliseconds.
 * @returns The time from now, in milliseconds.
 */
export function computeReturnAfterMs(requestId: string, backlogMs: number, remainingMs: number): number {
    const latestMs = Math.max(0, remainingMs) * maximumReturnShare;
    const earliestMs = Math.min(Math.max(minimumReturnMs, backlogMs), latestMs / 2);
    const position = computeRendezvousWeight(requestId, "return") / weightRange;
    return Math.min(latestMs, Math.max(minimumReturnMs, earliestMs + position * (latestMs - earliestMs)));
}
