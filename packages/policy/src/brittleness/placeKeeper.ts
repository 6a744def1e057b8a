/**
 * Grants places at the servers of brittle services to the requests of all nodes.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { KeeperSuccession } from "../serverLimits/keeperSuccession.js";
import type { EndedWait, PermitDecision, PermitRequest } from "../serverLimits/permitQueue.js";
import { PlaceQueue, type PlaceQueueOptions } from "./placeQueue.js";

/** A server and its keepers. */
export interface PlaceServer {
    readonly id: string;
    /** Names of the nodes that may grant its places, the most preferred first. */
    readonly keepers: readonly string[];
}

/** Time without a request after which a node counts the silence of the other keepers anew, in milliseconds. */
const unaskedMs = 5_000;
/** Time after which a request is offered again while another node grants, in milliseconds. */
const otherKeeperMs = 250;

/** How long a server's places have been asked for here. */
interface AskedTime {
    readonly sinceMs: number;
    readonly lastMs: number;
}

/** Holds the queue of each server for whose places this node is asked. */
export class PlaceKeeper {
    private readonly queues = new Map<string, PlaceQueue>();
    private readonly asked = new Map<string, AskedTime>();

    /**
     * @param clock - The node's clock.
     * @param succession - Decides whether this node grants.
     */
    constructor(
        private readonly clock: Clock,
        private readonly succession: KeeperSuccession,
    ) {}

    /**
     * Checks whether this node grants the places of a server.
     *
     * @param server - The server.
     * @returns Whether it does, as far as it knows.
     */
    isGranting({ id, keepers }: PlaceServer): boolean {
        return this.succession.isGranting(keepers, this.asked.get(id)?.sinceMs ?? this.clock.monotonicMs());
    }

    /**
     * Decides on a request of any node.
     *
     * @param server - The server.
     * @param options - Its room.
     * @param request - The request.
     * @returns The decision.
     */
    offer(server: PlaceServer, options: PlaceQueueOptions, request: PermitRequest): PermitDecision {
        const { id: serverId } = server;
        this.recordAsked(serverId);
        if (!this.isGranting(server)) {
            return { type: "refused", nextMs: otherKeeperMs, returnMs: otherKeeperMs };
        }
        const queue = this.queues.get(serverId) ?? new PlaceQueue(this.clock, options);
        queue.updateOptions(options);
        this.removeIdle();
        this.queues.set(serverId, queue);
        return queue.offer(request);
    }

    /**
     * Records that a request no longer needs its place.
     *
     * @param serverId - The server.
     * @param id - The request.
     */
    release(serverId: string, id: string): void {
        this.queues.get(serverId)?.release(id);
    }

    /** @returns The requests whose wait has ended now. */
    takeEnded(): readonly EndedWait[] {
        return [...this.queues.values()].flatMap((queue) => queue.takeEnded());
    }

    /** @returns Time until the waits are checked again, in milliseconds; undefined when none waits. */
    computeNextEndMs(): number | undefined {
        const endsMs = [...this.queues.values()].flatMap((queue) => queue.computeNextEndMs() ?? []);
        return endsMs.length === 0 ? undefined : Math.min(...endsMs);
    }

    private recordAsked(serverId: string): void {
        const nowMs = this.clock.monotonicMs();
        for (const [id, { lastMs }] of this.asked) {
            if (nowMs - lastMs >= unaskedMs) {
                this.asked.delete(id);
            }
        }
        const sinceMs = this.asked.get(serverId)?.sinceMs ?? nowMs;
        this.asked.set(serverId, { sinceMs, lastMs: nowMs });
    }

    private removeIdle(): void {
        for (const [id, queue] of this.queues) {
            if (queue.isIdle()) {
                this.queues.delete(id);
            }
        }
    }
}
