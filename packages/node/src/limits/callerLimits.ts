/**
 * Enforces the limits of customers and keys on the request path.
 *
 * @packageDocumentation
 */
import { Limiter, type LimitSummary, type SubjectUsage } from "@pimentocleat/policy";
import type { Configuration, Limits } from "@pimentocleat/schema";
import { RouterError, type Clock } from "@pimentocleat/types";

/** The customer and key whose limits apply to a request. */
export interface LimitedRequest {
    readonly customer: string;
    /** Undefined on open routes without a key. */
    readonly keyId: string | undefined;
}

/** Checks requests against the limits of their customer and key, including the usage on other nodes. */
export class CallerLimits {
    private readonly limiter: Limiter;
    /**
     * Last summarized usage of all limited subjects. Every summary carries all of it, because a summary
     * replaces an earlier one that is still in flight.
     */
    private summarizedUsage: Record<string, SubjectUsage> = {};

    /**
     * @param clock - Provides the monotonic time.
     * @param node - Name of this node.
     */
    constructor(clock: Clock, node: string) {
        this.limiter = new Limiter(clock, node);
    }

    /**
     * Applies the limits of a configuration.
     *
     * @param configuration - The active configuration.
     */
    applyConfiguration(configuration: Configuration): void {
        const limits = new Map<string, Limits>();
        configuration.customers.forEach((customer) =>
            limits.set(`customer/${customer.name}`, customer.limits),
        );
        configuration.keys.forEach((key) => limits.set(`key/${key.id}`, key.limits));
        for (const [subject, settings] of limits) {
            if (Object.values(settings).every((limit) => limit === undefined)) {
                limits.delete(subject);
            }
        }
        this.limiter.updateLimits(limits);
        this.summarizedUsage = Object.fromEntries(
            Object.entries(this.summarizedUsage).filter(([subject]) => limits.has(subject)),
        );
    }

    /**
     * Counts a starting request against its limits; `recordEnd` must be called when it ends.
     *
     * @param request - The request.
     * @throws RouterError when a limit is reached; the request is then not counted.
     */
    acquire(request: LimitedRequest): void {
        const refusal = this.limiter.acquire(listSubjects(request));
        if (refusal !== undefined) {
            const { kind, retryAfterMs } = refusal;
            throw new RouterError(kind, undefined, { executed: "no", retryAfterMs });
        }
    }

    /**
     * Counts generated tokens.
     *
     * @param request - The request.
     * @param tokens - Number of tokens.
     */
    recordTokens(request: LimitedRequest, tokens: number): void {
        this.limiter.recordTokens(listSubjects(request), tokens);
    }

    /**
     * Records the end of a request that `acquire` counted.
     *
     * @param request - The request.
     */
    recordEnd(request: LimitedRequest): void {
        this.limiter.recordEnd(listSubjects(request));
    }

    /**
     * Summarizes the usage on this node for the other nodes.
     *
     * @returns The last known usage of every limited subject.
     */
    summarizeUsage(): LimitSummary {
        const summary = this.limiter.summarizeUsage();
        this.summarizedUsage = { ...this.summarizedUsage, ...summary.usage };
        return { ...summary, usage: this.summarizedUsage };
    }

    /**
     * Records the usage on another node.
     *
     * @param summary - The summary received from that node.
     */
    recordPeerSummary(summary: LimitSummary): void {
        this.limiter.recordPeerSummary(summary);
    }

    /**
     * Removes the usage of a node that was declared dead or has restarted.
     *
     * @param node - Name of the node.
     */
    removePeer(node: string): void {
        this.limiter.removePeer(node);
    }
}

function listSubjects(request: LimitedRequest): readonly string[] {
    const customer = `customer/${request.customer}`;
    return request.keyId === undefined ? [customer] : [customer, `key/${request.keyId}`];
}
