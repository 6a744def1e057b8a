/**
 * The waiting requests of a pool on this node, indexed by identifier and by start deadline.
 *
 * @packageDocumentation
 */
import type { WaitingEntry } from "../fairness/fairQueue.js";
import type { ClassQueue } from "./classQueue.js";
import type { QueuedRequest } from "./poolScheduler.js";

/** A waiting request and its queue entry. */
export interface WaitingRequest {
    readonly request: QueuedRequest;
    readonly classQueue: ClassQueue;
    readonly entry: WaitingEntry;
    /** Whether the request goes before every customer's queue, as retried, resumed, moved and skipped ones do. */
    readonly isRequeued: boolean;
}

/** Indexes the waiting requests and keeps the index consistent with the queues of their classes. */
export class WaitingRequests {
    private readonly byId = new Map<string, WaitingRequest>();

    /** Adds a request to its class's queue. */
    add(waiting: WaitingRequest): void {
        this.byId.set(waiting.request.requestId, waiting);
        waiting.classQueue.queue.add(waiting.entry, waiting.isRequeued);
        waiting.classQueue.deadlines.add(waiting.entry);
    }

    /** Removes a request from its class's queue. */
    remove(waiting: WaitingRequest): void {
        this.byId.delete(waiting.request.requestId);
        waiting.classQueue.queue.remove(waiting.entry, waiting.isRequeued);
    }

    /** Removes a request if it is waiting. */
    removeById(requestId: string): void {
        const waiting = this.byId.get(requestId);
        if (waiting !== undefined) {
            this.remove(waiting);
        }
    }

    /** Checks whether a request is waiting. */
    has(requestId: string): boolean {
        return this.byId.has(requestId);
    }

    /**
     * Finds a waiting request.
     *
     * @param requestId - The identifier of the request.
     * @returns The request and its queue entry, or undefined when it isn't waiting.
     */
    find(requestId: string): WaitingRequest | undefined {
        return this.byId.get(requestId);
    }

    /** @returns All waiting requests. */
    list(): IterableIterator<WaitingRequest> {
        return this.byId.values();
    }

    /** @returns The number of waiting requests. */
    count(): number {
        return this.byId.size;
    }
}
