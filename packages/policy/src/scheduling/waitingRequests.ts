/**
 * The waiting requests of a pool on this node, by identifier and by deadline.
 *
 * @packageDocumentation
 */
import type { WaitingEntry } from "../fairness/fairQueue.js";
import type { ClassQueue } from "./classQueue.js";
import type { QueuedRequest } from "./poolScheduler.js";

/** A waiting request and its place. */
export interface WaitingRequest {
    readonly request: QueuedRequest;
    readonly classQueue: ClassQueue;
    readonly entry: WaitingEntry;
    readonly isAhead: boolean;
}

/** Finds waiting requests. */
export class WaitingRequests {
    private readonly byId = new Map<string, WaitingRequest>();

    /** @param waiting - A request that begins to wait. */
    add(waiting: WaitingRequest): void {
        this.byId.set(waiting.request.requestId, waiting);
        waiting.classQueue.queue.add(waiting.entry, waiting.isAhead);
        waiting.classQueue.deadlines.add(waiting.entry);
    }

    /** @param waiting - A request that waits no longer. */
    remove(waiting: WaitingRequest): void {
        this.byId.delete(waiting.request.requestId);
        waiting.classQueue.queue.remove(waiting.entry, waiting.isAhead);
    }

    /** @param requestId - A request that waits no longer, if it did. */
    removeById(requestId: string): void {
        const waiting = this.byId.get(requestId);
        if (waiting !== undefined) {
            this.remove(waiting);
        }
    }

    /**
     * @param requestId - A request.
     * @returns Whether it waits.
     */
    has(requestId: string): boolean {
        return this.byId.has(requestId);
    }

    /**
     * @param requestId - A request.
     * @returns Its place, or undefined when it doesn't wait.
     */
    find(requestId: string): WaitingRequest | undefined {
        return this.byId.get(requestId);
    }

    /** @returns All waiting requests. */
    list(): IterableIterator<WaitingRequest> {
        return this.byId.values();
    }

    /** @returns Waiting requests. */
    count(): number {
        return this.byId.size;
    }
}
