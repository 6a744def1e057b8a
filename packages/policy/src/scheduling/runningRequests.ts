/**
 * The running requests of a pool on this node.
 *
 * @packageDocumentation
 */
import type { ClassQueue } from "./classQueue.js";
import type { QueuedRequest } from "./poolScheduler.js";

/** A running request. */
export interface RunningRequest {
    readonly request: QueuedRequest;
    readonly classQueue: ClassQueue;
    server: string;
    /** Server that it was moved away from and that hasn't ended yet. */
    previousServer: string | undefined;
    startedMs: number;
    firstTokenMs: number | undefined;
    lastTokenMs: number;
    tokens: number;
    /** Tokens charged to the customer at the start, before any appeared. */
    readonly reservedTokens: number;
    /** Slot time charged to the class at the start, in milliseconds. */
    readonly reservedSlotMs: number;
}

/** A prompt token costs an engine about this share of a generated token. */
const promptTokenCostShare = 0.05;

/** Keeps the running requests and charges what they use to customers and classes. */
export class RunningRequests {
    private readonly running = new Map<string, RunningRequest>();
    /** Tokens by `class/customer` since the start. */
    private readonly served = new Map<string, number>();
    private readonly changedEntries = new Set<string>();

    /**
     * Notes a start and reserves an average answer, so that a customer can't start many requests
     * before their first tokens are charged.
     *
     * @param request - The request.
     * @param classQueue - Its class.
     * @param server - Its server.
     * @param nowMs - Monotonic time.
     */
    add(request: QueuedRequest, classQueue: ClassQueue, server: string, nowMs: number): void {
        const promptCost = request.promptTokens * promptTokenCostShare;
        const reservedTokens = classQueue.tokens.readMean();
        this.running.set(request.requestId, {
            request,
            classQueue,
            server,
            previousServer: undefined,
            startedMs: nowMs,
            firstTokenMs: undefined,
            lastTokenMs: nowMs,
            tokens: 0,
            reservedTokens,
            reservedSlotMs: classQueue.holdingMs.readMean(),
        });
        this.recordCharge(classQueue, request.customer, reservedTokens + promptCost);
    }

    /**
     * @param requestId - A request.
     * @returns Its state, or undefined when it isn't running.
     */
    find(requestId: string): RunningRequest | undefined {
        return this.running.get(requestId);
    }

    /**
     * @param server - A server.
     * @returns Running requests on it.
     */
    listByServer(server: string): RunningRequest[] {
        return [...this.running.values()].filter((running) => running.server === server);
    }

    /**
     * Notes generated tokens; those beyond the reservation are charged as they appear.
     *
     * @param running - The request.
     * @param tokens - New tokens.
     */
    recordTokens(running: RunningRequest, tokens: number): void {
        const before = Math.max(running.tokens, running.reservedTokens);
        running.tokens += tokens;
        const excess = Math.max(running.tokens, running.reservedTokens) - before;
        if (excess > 0) {
            this.recordCharge(running.classQueue, running.request.customer, excess);
        }
    }

    /**
     * Ends a request and gives back what it reserved and didn't use.
     *
     * @param running - The request.
     * @param nowMs - Monotonic time.
     */
    remove(running: RunningRequest, nowMs: number): void {
        const { classQueue, request } = running;
        this.running.delete(request.requestId);
        const unused = running.reservedTokens - running.tokens;
        if (unused > 0) {
            this.recordCharge(classQueue, request.customer, -unused);
        }
        const extraMs = nowMs - running.startedMs - running.reservedSlotMs;
        classQueue.virtualTime += extraMs / classQueue.settings.weight;
    }

    /** @returns Running requests. */
    count(): number {
        return this.running.size;
    }

    /** @returns Tokens by `class/customer` for the entries that changed since the last call. */
    takeServedTokens(): Record<string, number> {
        const tokens: Record<string, number> = {};
        for (const name of this.changedEntries) {
            tokens[name] = Math.max(0, Math.round(this.served.get(name) ?? 0));
        }
        this.changedEntries.clear();
        return tokens;
    }

    private recordCharge(classQueue: ClassQueue, customer: string, tokens: number): void {
        classQueue.queue.recordServed(customer, tokens);
        const name = `${classQueue.settings.name}/${customer}`;
        this.served.set(name, (this.served.get(name) ?? 0) + tokens);
        this.changedEntries.add(name);
    }
}
