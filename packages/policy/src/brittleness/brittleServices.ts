/**
 * Services whose servers are brittle: a server that has to reject more than a named number of requests in a second for
 * want of room fails. What a server has room for is not known; it is learned from rejections at all nodes.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** What is known of a service. */
interface BrittleService {
    /** Rejections in a second that a server bears. */
    readonly allowed: number;
    /** Monotonic time at which the request was sent whose answer said so, in milliseconds. */
    readonly sentMs: number;
    readonly heardMs: number;
}

/** What the rejections of a server show. */
interface LearnedRoom {
    /** Requests for which there was room at the last rejection. */
    readonly room: number;
    readonly atMs: number;
    /** Times of the rejections in the last second, the oldest first. */
    readonly rejectionsMs: readonly number[];
}

/** Time in which the rejections of a server are counted, in milliseconds. */
const rejectionWindowMs = 1_000;
/** Time after a rejection in which one more request is assumed to fit, in milliseconds. */
const recoveryMs = 250;
/** Time without an answer after which a service no longer counts as brittle, in milliseconds. */
const forgottenMs = 30_000;
/** Bound on the rejections that a server says it bears; a larger figure binds nothing. */
const maximumAllowed = 100_000;

/** Knows the brittle services and the room of their servers. */
export class BrittleServices {
    private readonly services = new Map<string, BrittleService>();
    private readonly ended = new Map<string, number>();
    private readonly rooms = new Map<string, LearnedRoom>();

    /** @param clock - The node's clock. */
    constructor(private readonly clock: Clock) {}

    /**
     * Records what an answer said; of several the one to the latest request counts.
     *
     * @param service - Name of the service.
     * @param allowed - Rejections in a second that each server bears; undefined when the answer named none.
     * @param sentMs - Monotonic time at which the request was sent, in milliseconds.
     * @returns Whether the service has become brittle, or no longer is.
     */
    recordAnswer(service: string, allowed: number | undefined, sentMs: number): boolean {
        const known = this.services.get(service);
        const lastMs = known?.sentMs ?? this.ended.get(service) ?? Number.NEGATIVE_INFINITY;
        if (sentMs < lastMs || (allowed === undefined && known === undefined)) {
            return false;
        }
        if (allowed === undefined) {
            this.services.delete(service);
            this.ended.set(service, sentMs);
            return true;
        }
        this.ended.delete(service);
        const heardMs = this.clock.monotonicMs();
        this.services.set(service, { allowed: Math.min(allowed, maximumAllowed), sentMs, heardMs });
        return known === undefined;
    }

    /**
     * Finds how many rejections the servers of a service bear.
     *
     * @param service - Name of the service.
     * @returns The number in a second; undefined when the service is not brittle.
     */
    findAllowed(service: string): number | undefined {
        const known = this.services.get(service);
        return known !== undefined && this.clock.monotonicMs() - known.heardMs < forgottenMs
            ? known.allowed
            : undefined;
    }

    /**
     * Records that a server rejected a request for want of room.
     *
     * @param serverId - The server.
     * @param room - Number of requests that were in flight there, without the rejected one.
     */
    recordRejection(serverId: string, room: number): void {
        const nowMs = this.clock.monotonicMs();
        const rejectionsMs = [...this.listRejections(serverId, nowMs), nowMs];
        const current = this.readLearnedRoom(serverId, nowMs);
        this.rooms.set(serverId, { room: Math.max(1, Math.min(room, current)), atMs: nowMs, rejectionsMs });
    }

    /** @param serverId - A server that has started anew. */
    removeServer(serverId: string): void {
        this.rooms.delete(serverId);
    }

    /**
     * Computes how many requests may be in flight at a server of a brittle service.
     *
     * @param serverId - The server.
     * @param slots - Number of requests that it runs at once.
     * @param allowed - Rejections in a second that it bears.
     * @returns The number; 0 while another rejection may bring it down.
     */
    computeRoom(serverId: string, slots: number, allowed: number): number {
        const nowMs = this.clock.monotonicMs();
        const rejected = this.listRejections(serverId, nowMs).length;
        if (rejected > 0 && rejected >= allowed) {
            return 0;
        }
        return Math.max(1, Math.min(slots, this.readLearnedRoom(serverId, nowMs)));
    }

    private readLearnedRoom(serverId: string, nowMs: number): number {
        const learned = this.rooms.get(serverId);
        return learned === undefined
            ? Number.POSITIVE_INFINITY
            : learned.room + Math.floor((nowMs - learned.atMs) / recoveryMs);
    }

    private listRejections(serverId: string, nowMs: number): readonly number[] {
        const all = this.rooms.get(serverId)?.rejectionsMs ?? [];
        return all.filter((atMs) => nowMs - atMs < rejectionWindowMs);
    }
}
