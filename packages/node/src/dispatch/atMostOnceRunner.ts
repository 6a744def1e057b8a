/**
 * Runs requests that must not be repeated. The idempotency key is claimed before the first byte is sent,
 * and the outcome is stored for later requests with the same key on any node.
 *
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import type { Claim, ClaimOutcome, ClaimResult, ClaimStore } from "@pimentocleat/state";
import { ErrorKind, RouterError, type WaitingClock } from "@pimentocleat/types";
import type { RequestRunner } from "./requestRunner.js";
import type { RoutedRequest, CompleteAnswer } from "./routedRequest.js";
import type { RunContext } from "./runState.js";

/**
 * Maximum time from claiming the key to sending the request, in milliseconds. It is well below the age at
 * which other nodes treat an open claim as having an unknown outcome.
 */
const maximumClaimToSendMs = 120_000;

type RefusedClaimType = Exclude<ClaimResult["type"], "claimed" | "answered">;

const refusedClaimErrorKinds: Readonly<Record<RefusedClaimType, ErrorKind>> = {
    inProgress: ErrorKind.IdempotencyInProgress,
    outcomeUnknown: ErrorKind.IdempotencyOutcomeUnknown,
    conflict: ErrorKind.IdempotencyConflict,
    unavailable: ErrorKind.ClaimUnavailable,
};

/** Options of an {@link AtMostOnceRunner}. */
export interface AtMostOnceRunnerOptions {
    readonly runner: RequestRunner;
    readonly claims: ClaimStore;
    readonly clock: WaitingClock;
    /** Name of this node. */
    readonly node: string;
    /** Maximum time that a response waits until its outcome is stored, in milliseconds. */
    readonly outcomeRecordTimeoutMs: number;
    /** Called with the error when an outcome could not be stored. */
    readonly onError: (error: unknown) => void;
}

/**
 * Runs requests that must not be repeated. A request with an idempotency key runs at most once, also when the
 * caller repeats it.
 */
export class AtMostOnceRunner {
    private readonly pendingOutcomeRecords = new Set<Promise<void>>();

    /** @param options - Runner, claim store, clock and timeout. */
    constructor(private readonly options: AtMostOnceRunnerOptions) {}

    /**
     * Runs a request that must not be repeated.
     *
     * @param context - The request and its caller.
     * @returns The response, which may be the stored response of an earlier request with the same key.
     * @throws RouterError when there is no response; its `executed` says whether the request may have run.
     */
    async runRequest(context: RunContext): Promise<CompleteAnswer> {
        const { idempotencyKey } = context.request;
        if (idempotencyKey === undefined) {
            return (await this.options.runner.runRequest(context)) as CompleteAnswer;
        }
        const result = await this.claimKey(context.request, idempotencyKey);
        context.trace.addStep("claimed", result.type);
        if (result.type === "answered") {
            const { status, headers, body } = result.answer;
            return { status, headers, body: Buffer.from(body, "base64"), replayed: true };
        }
        if (result.type === "claimed") {
            return this.runClaimed(context, result.claim);
        }
        const retryAfterMs = result.type === "unavailable" ? result.retryAfterMs : undefined;
        throw new RouterError(refusedClaimErrorKinds[result.type], undefined, { retryAfterMs });
    }

    /**
     * Waits for the outcomes that are being stored.
     *
     * @returns A promise that resolves when each of them was stored or has failed.
     */
    async waitForOutcomeRecords(): Promise<void> {
        await Promise.all(this.pendingOutcomeRecords);
    }

    private async claimKey(request: RoutedRequest, idempotencyKey: string): Promise<ClaimResult> {
        const { customer, route, requestId } = request;
        const requestDigest = computeRequestDigest(request);
        const { node } = this.options;
        try {
            return await this.options.claims.claimKey({
                customer,
                route,
                idempotencyKey,
                requestDigest,
                requestId,
                node,
            });
        } catch (error) {
            throw new RouterError(ErrorKind.ClaimUnavailable, undefined, { cause: error });
        }
    }

    private async runClaimed(context: RunContext, claim: Claim): Promise<CompleteAnswer> {
        try {
            const answer = (await this.options.runner.runRequest({
                ...context,
                sendDeadlineMs: this.options.clock.monotonicMs() + maximumClaimToSendMs,
            })) as CompleteAnswer;
            const { status, headers, body } = answer;
            const stored = { status, headers, body: body.toString("base64") };
            await this.recordOutcome(claim, { type: "answered", answer: stored });
            return answer;
        } catch (error) {
            const notRun = error instanceof RouterError && error.executed === "no";
            await this.recordOutcome(claim, { type: notRun ? "notRun" : "unknown" });
            throw error;
        }
    }

    private async recordOutcome(claim: Claim, outcome: ClaimOutcome): Promise<void> {
        const outcomeRecord = this.options.claims
            .recordOutcome(claim, outcome)
            .catch((error: unknown) => this.options.onError(error));
        this.pendingOutcomeRecords.add(outcomeRecord);
        void outcomeRecord.then(() => this.pendingOutcomeRecords.delete(outcomeRecord));
        const abort = new AbortController();
        const wait = this.options.clock.wait(this.options.outcomeRecordTimeoutMs, abort.signal);
        await Promise.race([outcomeRecord, wait]);
        abort.abort();
    }
}

/**
 * Computes the digest that distinguishes a repeated request from a different one with the same key.
 *
 * @param request - The request.
 * @returns SHA-256 digest of method, path, query and body, in hexadecimal.
 */
function computeRequestDigest(request: RoutedRequest): string {
    return createHash("sha256")
        .update(`${request.method} ${request.path}\n`)
        .update(request.body ?? "")
        .digest("hex");
}
