/**
 * Measures the usage of one request.
 *
 * @packageDocumentation
 */
import type { UsageRecorder } from "@pimentocleat/state";
import type { RoutedRequest } from "../dispatch/routedRequest.js";
import type { TokenUsage } from "../streams/streamEvent.js";

/** Tokens after which a running stream's usage is recorded; limits the usage lost when a host dies. */
const recordIntervalTokens = 32;

/** Records the usage of one request: tokens while it runs; the request and its prompt at its end. */
export class UsageMeter {
    private tokens = 0;
    private recordedTokens = 0;
    private promptTokens: number;
    private hasUsage = false;

    /**
     * @param recorder - Records the amounts for the request's customer.
     * @param request - The request to measure.
     */
    constructor(
        private readonly recorder: UsageRecorder,
        private readonly request: RoutedRequest,
    ) {
        this.promptTokens = request.modelCall?.promptTokens ?? 0;
    }

    /** Number of generated tokens so far. */
    get completionTokens(): number {
        return this.tokens;
    }

    /**
     * Adds generated tokens and records them in batches.
     *
     * @param tokens - Number of tokens relayed to the caller.
     */
    addCompletionTokens(tokens: number): void {
        this.hasUsage = true;
        this.tokens += tokens;
        if (this.tokens - this.recordedTokens >= recordIntervalTokens) {
            this.recordAmount(0, 0);
        }
    }

    /**
     * Replaces the estimates with the engine's counts of a complete response. The completion tokens are never
     * set below those already recorded.
     *
     * @param usage - The engine's counts; undefined when it reported none.
     */
    setReportedUsage(usage: TokenUsage | undefined): void {
        this.hasUsage = true;
        if (usage !== undefined) {
            this.promptTokens = usage.promptTokens;
            this.tokens = Math.max(this.recordedTokens, usage.completionTokens);
        }
    }

    /**
     * Records the remaining usage if the request's stream produced tokens or completed, or its response carried
     * token counts. Other requests, such as those to plain services, are not recorded.
     */
    finish(): void {
        if (this.hasUsage) {
            this.recordAmount(1, this.promptTokens);
        }
    }

    private recordAmount(requests: number, promptTokens: number): void {
        const completionTokens = this.tokens - this.recordedTokens;
        this.recordedTokens = this.tokens;
        const { customer } = this.request;
        this.recorder.recordUsage({ customer, requests, promptTokens, completionTokens });
    }
}
