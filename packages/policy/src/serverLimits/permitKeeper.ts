/**
 * Decides whether this node grants the permits of a server. One node grants those of all nodes: the first of the
 * server's keepers, and the next ones in their order while those before them are silent.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import { KeeperSuccession } from "./keeperSuccession.js";
import { PermitQueue, type EndedWait, type PermitDecision, type PermitRequest } from "./permitQueue.js";

/** A server, its limit and its keepers. */
export interface KeptServer {
    readonly id: string;
    /** The limit, in requests per second. */
    readonly perSecond: number;
    /** Names of the nodes that may grant its permits, the most preferred first. */
    readonly keepers: readonly string[];
}

interface KeptQueue {
    readonly queue: PermitQueue;
    readonly sinceMs: number;
    usedMs: number;
}

/** Time after which a request is offered again when another node grants the permits, in milliseconds. */
const otherKeeperMs = 250;
/** Time without a request after which the permits of a server are forgotten, in milliseconds. */
const unusedMs = 120_000;

/** Grants the permits of the servers that this node keeps. */
export class PermitKeeper {
    private readonly queues = new Map<string, KeptQueue>();
    /** Decides whether this node grants. */
    readonly succession: KeeperSuccession;

    /**
     * @param name - Name of this node.
     * @param clock - The node's clock.
     */
    constructor(
        name: string,
        private readonly clock: Clock,
    ) {
        this.succession = new KeeperSuccession(name, clock);
    }

    /**
     * Starts to keep the permits of a server; without effect when this node keeps them already. The first permit comes
     * after the time that one takes at the server's limit.
     *
     * @param server - The server.
     */
    ensureServer(server: KeptServer): void {
        const nowMs = this.clock.monotonicMs();
        const known = this.queues.get(server.id);
        if (known === undefined) {
            const queue = new PermitQueue(this.clock, server.perSecond);
            this.queues.set(server.id, { queue, sinceMs: nowMs, usedMs: nowMs });
        } else {
            known.usedMs = nowMs;
            known.queue.updateLimit(server.perSecond);
        }
        for (const [id, { usedMs }] of this.queues) {
            if (nowMs - usedMs > unusedMs) {
                this.queues.delete(id);
            }
        }
    }

    /**
     * Decides on a request of any node.
     *
     * @param server - The server.
     * @param request - The request.
     * @returns The decision.
     */
    offer(server: KeptServer, request: PermitRequest): PermitDecision {
        this.ensureServer(server);
        const kept = this.queues.get(server.id)!;
        if (!this.succession.isGranting(server.keepers, kept.sinceMs)) {
            return { type: "refused", nextMs: otherKeeperMs, returnMs: otherKeeperMs };
        }
        return kept.queue.offer(request);
    }

    /**
     * Checks whether this node grants the permits of a server that it keeps.
     *
     * @param server - The server.
     * @returns Whether it does.
     */
    isGranting({ id, keepers }: KeptServer): boolean {
        const sinceMs = this.queues.get(id)?.sinceMs ?? this.clock.monotonicMs();
        return this.succession.isGranting(keepers, sinceMs);
    }

    /** @returns The requests whose wait has ended now. */
    takeEnded(): readonly EndedWait[] {
        return [...this.queues.values()].flatMap(({ queue }) => queue.takeEnded());
    }

    /** @returns Time until the wait of a request ends, in milliseconds; undefined when none waits. */
    computeNextEndMs(): number | undefined {
        const endsMs = [...this.queues.values()].flatMap(({ queue }) => queue.computeNextEndMs() ?? []);
        return endsMs.length === 0 ? undefined : Math.min(...endsMs);
    }
}
