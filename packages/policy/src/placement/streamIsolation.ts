/**
 * Keeps the streams with the shortest pause targets on a few servers of their own, away from the prefill of other
 * prompts: an engine prefills in chunks between the tokens of its running streams, so each prefill delays them all.
 *
 * @packageDocumentation
 */
import { computeRendezvousWeight } from "../hashing/rendezvousWeight.js";
import type { PlacementServer } from "./serverEstimate.js";

/** Time after which a pause target that no request had since is forgotten, in milliseconds. */
const pauseTargetLifetimeMs = 30_000;
/** A stream is sensitive when its pause target is at most this multiple of the shortest one. */
const sensitivePauseFactor = 1.25;
/** Maximum prefill of a sensitive stream's own prompt, as a share of its pause target. */
const harmlessPrefillShare = 0.5;
/** Slot utilization of the isolated servers above which another one is isolated. */
const isolatedUtilization = 0.5;
/** Maximum share of the servers that are isolated. */
const maximumIsolatedShare = 1 / 3;
/** Minimum number of isolated servers while the maximum share allows it; one server may fail or be reclaimed. */
const minimumIsolatedServers = 2;
/** Rendezvous hashing key by which all nodes isolate the same servers. */
const isolationRankKey = "quiet";
/** Penalty for a sensitive stream on a server that isn't isolated, in milliseconds of the caller's time. */
const unprotectedStreamPenaltyMs = 200;
/** Penalty for a prefill that exceeds the harmless share on an isolated server; proportionally less for shorter ones. */
const disturbancePenaltyMs = 400;

/** Selects the isolated servers and computes the penalties that keep other prompts away from them. */
export class StreamIsolation {
    /** Monotonic time at which each pause target was last seen, in milliseconds. */
    private readonly lastSeenMs = new Map<number, number>();
    /** Rank weights of the known servers. */
    private weights = new Map<string, number>();

    /**
     * Replaces the servers whose rank weights are kept, so that a choice need not compute them.
     *
     * @param servers - The servers that may get new requests.
     */
    updateServers(servers: readonly PlacementServer[]): void {
        this.weights = new Map(servers.map(({ id }) => [id, this.readWeight(id)]));
    }

    /**
     * Records the pause target of a request.
     *
     * @param pauseTargetMs - The target, in milliseconds; undefined if the answer isn't streamed.
     * @param nowMs - The monotonic time, in milliseconds.
     */
    recordPauseTarget(pauseTargetMs: number | undefined, nowMs: number): void {
        if (pauseTargetMs !== undefined) {
            this.lastSeenMs.set(pauseTargetMs, nowMs);
        }
    }

    /**
     * Reads the longest pause target of a sensitive stream.
     *
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The target, in milliseconds; 0 while no stream was seen.
     */
    readSensitivePauseMs(nowMs: number): number {
        let shortest = Number.POSITIVE_INFINITY;
        for (const [pauseTargetMs, seenMs] of this.lastSeenMs) {
            if (nowMs - seenMs > pauseTargetLifetimeMs) {
                this.lastSeenMs.delete(pauseTargetMs);
            } else {
                shortest = Math.min(shortest, pauseTargetMs);
            }
        }
        return Number.isFinite(shortest) ? shortest * sensitivePauseFactor : 0;
    }

    /**
     * Checks whether a stream is sensitive: its pause target is among the shortest, and its own prompt is short enough
     * not to delay the others.
     *
     * @param pauseTargetMs - The stream's pause target, in milliseconds; undefined if the answer isn't streamed.
     * @param prefillMs - Duration of the prefill of its complete prompt, in milliseconds.
     * @param sensitivePauseMs - The result of {@link StreamIsolation.readSensitivePauseMs}.
     * @returns Whether it belongs on the isolated servers.
     */
    isSensitive(pauseTargetMs: number | undefined, prefillMs: number, sensitivePauseMs: number): boolean {
        return (
            pauseTargetMs !== undefined &&
            pauseTargetMs <= sensitivePauseMs &&
            prefillMs <= harmlessPrefillShare * pauseTargetMs
        );
    }

    /**
     * Selects the isolated servers: as many as the sensitive streams need. All nodes that know the same servers rank
     * them alike; servers that may not be reclaimed come first, since a stream that breaks off can't be repeated.
     *
     * @param servers - The servers that may get new requests.
     * @param sensitiveStreams - The number of sensitive streams in flight.
     * @returns The identifiers of the isolated servers.
     */
    selectServers(servers: readonly PlacementServer[], sensitiveStreams: number): ReadonlySet<string> {
        const slots = Math.max(1, ...servers.map((server) => server.slots));
        const needed = Math.ceil((sensitiveStreams + 1) / (slots * isolatedUtilization));
        const maximum = Math.floor(servers.length * maximumIsolatedShare);
        const count = Math.min(maximum, Math.max(minimumIsolatedServers, needed));
        if (count === 0) {
            return new Set();
        }
        const ranked = servers
            .map(({ id, isReclaimable }) => ({
                id,
                weight: this.readWeight(id),
                isReclaimable,
            }))
            .sort(
                (left, right) =>
                    Number(left.isReclaimable) - Number(right.isReclaimable) || right.weight - left.weight,
            );
        return new Set(ranked.slice(0, count).map(({ id }) => id));
    }

    /**
     * Computes the penalty for a stream on a server of the wrong group.
     *
     * @param isSensitive - Whether the request is a sensitive stream.
     * @param isIsolated - Whether the server is isolated.
     * @param prefillMs - Duration of the prefill that the request needs on the server, in milliseconds.
     * @param sensitivePauseMs - The result of {@link StreamIsolation.readSensitivePauseMs}.
     * @returns The penalty, in milliseconds of the caller's time.
     */
    computePenaltyMs(
        isSensitive: boolean,
        isIsolated: boolean,
        prefillMs: number,
        sensitivePauseMs: number,
    ): number {
        if (isSensitive === isIsolated) {
            return 0;
        }
        if (isSensitive) {
            return unprotectedStreamPenaltyMs;
        }
        const harmlessMs = harmlessPrefillShare * sensitivePauseMs;
        return harmlessMs === 0 ? 0 : disturbancePenaltyMs * Math.min(1, prefillMs / harmlessMs);
    }

    private readWeight(id: string): number {
        return this.weights.get(id) ?? computeRendezvousWeight(isolationRankKey, id);
    }
}
