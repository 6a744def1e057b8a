/**
 * The running requests of a pool on this node and the accounting of what they use.
 *
 * @packageDocumentation
 */
import type { ClassQueue } from "./classQueue.js";
import type { QueuedRequest } from "./poolScheduler.js";

/** The state of a running request. */
export interface RunningRequest {
    readonly request: QueuedRequest;
    readonly classQueue: ClassQueue;
    server: string;
    /** Server that the request was moved away from, until the outcome of that attempt is recorded. */
    previousServer: string | undefined;
    startedMs: number;
    firstTokenMs: number | undefined;
    lastTokenMs: number;
    tokens: number;
    /** Tokens charged to the customer at the start, before any were generated. */
    readonly reservedTokens: number;
    /** Slot time charged to the class at the start, in milliseconds. */
    readonly reservedSlotMs: number;
}

/** Approximate cost of a prompt token to an engine, as a share of the cost of a generated token. */
const promptTokenCostShare = 0.05;

/** Tracks the running requests and charges their usage to customers and classes. */
export class RunningRequests {
    private readonly running = new Map<string, RunningRequest>();
    /** Tokens served since the node's start, by `class/customer`. */
    private readonly served = new Map<string, number>();
    /** Keys of the entries of `served` that changed since they were last summarized. */
    private readonly changedEntries = new Set<string>();

    /**
     * Records the start of a request and charges an average answer in advance, so that a customer can't start
     * many requests before their first tokens are charged.
     *
     * @param request - The request.
     * @param classQueue - The class of the request.
     * @param server - The server that runs the request.
     * @param nowMs - The monotonic time, in milliseconds.
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
     * Finds a running request.
     *
     * @param requestId - The identifier of the request.
     * @returns The state of the request, or undefined when it isn't running.
     */
    find(requestId: string): RunningRequest | undefined {
        return this.running.get(requestId);
    }

    /** Lists the running requests of a server. */
    listByServer(server: string): RunningRequest[] {
        return [...this.running.values()].filter((running) => running.server === server);
    }

    /**
     * Records generated tokens, and charges those beyond the reservation.
     *
     * @param running - The request.
     * @param tokens - The number of new tokens.
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
     * Removes a request that ended, refunds its unused reserved tokens and corrects the slot time charged to its
     * class.
     *
     * @param running - The request.
     * @param nowMs - The monotonic time, in milliseconds.
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

    /** @returns The number of running requests. */
    count(): number {
        return this.running.size;
    }

    /** @returns The tokens served, by `class/customer`, for the entries that changed since the last call. */
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
