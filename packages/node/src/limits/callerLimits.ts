/**
 * Limits of customers and keys on the request path.
 *
 * @packageDocumentation
 */
import { Limiter, type LimitSummary, type SubjectUsage } from "@pimentocleat/policy";
import type { Configuration, Limits } from "@pimentocleat/schema";
import { RouterError, type Clock } from "@pimentocleat/types";

/** Whose limits apply to a request. */
export interface LimitedRequest {
    readonly customer: string;
    /** Undefined on open routes without a key. */
    readonly keyId: string | undefined;
}

/** Checks requests against the limits of their customer and their key, over all nodes. */
export class CallerLimits {
    private readonly limiter: Limiter;
    /** Last summarized usage of all limited subjects; a summary replaces the one before it on its way. */
    private summarizedUsage: Record<string, SubjectUsage> = {};

    /**
     * @param clock - Source of time.
     * @param node - Name of this node.
     */
    constructor(clock: Clock, node: string) {
        this.limiter = new Limiter(clock, node);
    }

    /** @param configuration - The configuration in force. */
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
     * Counts a request that starts; `recordEnd` has to follow.
     *
     * @param request - The request.
     * @throws RouterError when a limit is reached; the request is not counted then.
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
     * @param tokens - How many.
     */
    recordTokens(request: LimitedRequest, tokens: number): void {
        this.limiter.recordTokens(listSubjects(request), tokens);
    }

    /** @param request - A counted request that ended. */
    recordEnd(request: LimitedRequest): void {
        this.limiter.recordEnd(listSubjects(request));
    }

    /** @returns What the other nodes must know. */
    summarizeUsage(): LimitSummary {
        const summary = this.limiter.summarizeUsage();
        this.summarizedUsage = { ...this.summarizedUsage, ...summary.usage };
        return { ...summary, usage: this.summarizedUsage };
    }

    /** @param summary - Usage on another node. */
    recordPeerSummary(summary: LimitSummary): void {
        this.limiter.recordPeerSummary(summary);
    }

    /** @param node - A node that is gone. */
    removePeer(node: string): void {
        this.limiter.removePeer(node);
    }
}

function listSubjects(request: LimitedRequest): readonly string[] {
    const customer = `customer/${request.customer}`;
    return request.keyId === undefined ? [customer] : [customer, `key/${request.keyId}`];
}
