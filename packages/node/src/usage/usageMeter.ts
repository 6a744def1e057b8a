/**
 * Counts what one request uses.
 *
 * @packageDocumentation
 */
import type { UsageRecorder } from "@pimentocleat/state";
import type { RoutedRequest } from "../dispatch/routedRequest.js";
import type { TokenUsage } from "../streams/streamEvent.js";

/** Tokens after which a running stream's usage is recorded, which bounds the loss when a host dies. */
const recordIntervalTokens = 32;

/** Records the usage of one request: tokens while they appear, the request at its end. */
export class UsageMeter {
    private tokens = 0;
    private recordedTokens = 0;
    private promptTokens: number;
    private hasUsage = false;

    /**
     * @param recorder - Receives the amounts.
     * @param request - The request.
     */
    constructor(
        private readonly recorder: UsageRecorder,
        private readonly request: RoutedRequest,
    ) {
        this.promptTokens = request.modelCall?.promptTokens ?? 0;
    }

    /** Generated tokens so far. */
    get completionTokens(): number {
        return this.tokens;
    }

    /** @param tokens - Tokens that reached the caller. */
    addCompletionTokens(tokens: number): void {
        this.hasUsage = true;
        this.tokens += tokens;
        if (this.tokens - this.recordedTokens >= recordIntervalTokens) {
            this.recordAmount(0, 0);
        }
    }

    /** @param usage - The engine's own counts of a complete answer, which replace the estimate. */
    setReportedUsage(usage: TokenUsage | undefined): void {
        this.hasUsage = true;
        if (usage !== undefined) {
            this.promptTokens = usage.promptTokens;
            this.tokens = Math.max(this.recordedTokens, usage.completionTokens);
        }
    }

    /** Records what is left; a request that got nothing is not recorded. */
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
