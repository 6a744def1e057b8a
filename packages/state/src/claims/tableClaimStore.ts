/**
 * Stores claims in the platform's table service.
 *
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import { PlatformError, type Row, type TableService } from "@pimentocleat/services";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import { computeBackoffMs } from "../retrying/backoff.js";
import { isAmbiguous, runWithTimeout } from "../retrying/callTimeout.js";
import { GroupCommitter } from "../retrying/groupCommitter.js";
import {
    applyOutcome,
    claimRecordSchema,
    claimTable,
    formatClaimKey,
    type ClaimRecord,
} from "./claimRecord.js";
import { ClaimOutcomeWriter } from "./claimOutcomeWriter.js";
import type { Claim, ClaimOutcome, ClaimRequest, ClaimResult, ClaimStore } from "./claimStore.js";

/** Limits of {@link TableClaimStore}; durations are in milliseconds. */
export interface ClaimStoreSettings {
    /** Timeout of one call to the table service. */
    readonly callTimeoutMs: number;
    /** Timeout of one claim, including retries. */
    readonly claimTimeoutMs: number;
    /** Delay after which a caller should retry when the result is `unavailable`. */
    readonly retryAfterMs: number;
    /** Age above which an open claim reads as unknown even if its owner has not been declared dead. */
    readonly maximumOpenClaimAgeMs: number;
    /** Maximum length of a stored response body, in base64 characters. */
    readonly maximumAnswerBytes: number;
    /** Minimum interval between two transactions of this node. */
    readonly groupIntervalMs: number;
    /** Limit on transactions per second of all nodes together; with more nodes, the groups become larger. */
    readonly writesPerSecond: number;
    readonly maximumGroupRows: number;
    readonly maximumPending: number;
    readonly initialRetryDelayMs: number;
    readonly maximumRetryDelayMs: number;
}

/** Default settings. */
export const defaultClaimStoreSettings: ClaimStoreSettings = {
    callTimeoutMs: 1_000,
    claimTimeoutMs: 2_000,
    retryAfterMs: 1_000,
    maximumOpenClaimAgeMs: 600_000,
    maximumAnswerBytes: 262_144,
    groupIntervalMs: 20,
    writesPerSecond: 300,
    maximumGroupRows: 64,
    maximumPending: 10_000,
    initialRetryDelayMs: 50,
    maximumRetryDelayMs: 10_000,
};

/** Options of {@link TableClaimStore}. */
export interface TableClaimStoreOptions {
    readonly tableService: TableService;
    readonly clock: WaitingClock;
    readonly random: () => number;
    readonly logger: Logger;
    /** Whether an incarnation of a node has been declared dead permanently. */
    readonly isOwnerDead: (owner: string) => boolean;
    readonly createToken?: () => string;
    /** Incarnation of this node, recorded as the owner of its claims. Defaults to the request's node. */
    readonly owner?: string;
    /** Counts the nodes known to be running, including this one. Defaults to 1. */
    readonly countNodes?: () => number;
    readonly settings?: Partial<ClaimStoreSettings>;
}

const millisecondsPerSecond = 1_000;

/** An attempt to claim a key: its record, and what is known about its commits so far. */
interface ClaimAttempt {
    readonly key: string;
    readonly record: ClaimRecord;
    readonly deadlineMs: number;
    /** Version that the row must have; 0 if it must be absent. */
    expectedVersion: number;
    /** Whether a commit of this attempt may have taken effect or may still do so. */
    unresolved: boolean;
}

/**
 * Claims keys by conditional insert. Each claim has a unique token, so a commit whose response was lost can be
 * retried: an attempt that finds its own token in the row holds the claim. A claim is never taken over.
 */
export class TableClaimStore implements ClaimStore {
    private readonly settings: ClaimStoreSettings;
    private readonly committer: GroupCommitter;
    private readonly outcomeWriter: ClaimOutcomeWriter;
    private readonly openRecords = new Map<string, ClaimRecord>();

    /** @param options - The table service, the clock and the settings. */
    constructor(private readonly options: TableClaimStoreOptions) {
        this.settings = { ...defaultClaimStoreSettings, ...options.settings };
        const { callTimeoutMs, maximumPending } = this.settings;
        this.committer = new GroupCommitter({
            tableService: options.tableService,
            clock: options.clock,
            callTimeoutMs,
            getIntervalMs: () => this.computeIntervalMs(),
            maximumRows: this.settings.maximumGroupRows,
            maximumWaiting: maximumPending,
        });
        this.outcomeWriter = new ClaimOutcomeWriter({
            ...options,
            committer: this.committer,
            callTimeoutMs,
            maximumPending,
            backoff: {
                initialMs: this.settings.initialRetryDelayMs,
                maximumMs: this.settings.maximumRetryDelayMs,
            },
        });
    }

    async claimKey(request: ClaimRequest): Promise<ClaimResult> {
        const attempt = this.createAttempt(request);
        for (let tries = 1; ; tries += 1) {
            const result = await this.tryClaim(attempt);
            if (result !== undefined) {
                return result;
            }
            const waitMs = computeBackoffMs(this.createBackoff(), tries, this.options.random);
            if (this.options.clock.monotonicMs() + waitMs >= attempt.deadlineMs) {
                return this.cancelAttempt(attempt, this.settings.retryAfterMs);
            }
            await this.options.clock.wait(waitMs);
        }
    }

    async recordOutcome(claim: Claim, outcome: ClaimOutcome): Promise<void> {
        const open = this.openRecords.get(claim.token);
        if (open === undefined) {
            return;
        }
        this.openRecords.delete(claim.token);
        const record = applyOutcome(open, outcome, this.settings.maximumAnswerBytes);
        const { key, version } = claim;
        await this.outcomeWriter.storeOutcome({ key, record, version, abandoned: false });
    }

    /** @returns The number of outcomes that are not stored yet. */
    countPendingOutcomes(): number {
        return this.outcomeWriter.countPending();
    }

    /** Stops the background retries. */
    close(): void {
        this.outcomeWriter.close();
    }

    private computeIntervalMs(): number {
        const { groupIntervalMs, writesPerSecond } = this.settings;
        const nodes = this.options.countNodes?.() ?? 1;
        return Math.max(groupIntervalMs, (nodes * millisecondsPerSecond) / writesPerSecond);
    }

    private createAttempt(request: ClaimRequest): ClaimAttempt {
        const { clock, createToken = randomUUID } = this.options;
        return {
            key: formatClaimKey(request),
            record: {
                token: createToken(),
                requestDigest: request.requestDigest,
                requestId: request.requestId,
                owner: this.options.owner ?? request.node,
                claimedMs: clock.wallMs(),
                state: "claimed",
            },
            deadlineMs: clock.monotonicMs() + this.settings.claimTimeoutMs,
            expectedVersion: 0,
            unresolved: false,
        };
    }

    /** Returns undefined when the attempt must be retried. */
    private async tryClaim(attempt: ClaimAttempt): Promise<ClaimResult | undefined> {
        try {
            const { key, expectedVersion: version, record: value } = attempt;
            const result = await this.committer.commitWrite({ table: claimTable, key, version, value });
            if (result.outcome === "committed") {
                return this.openClaim(attempt, result.version);
            }
        } catch (error) {
            return this.handleFailure(attempt, error);
        }
        try {
            return this.resolveRow(attempt, await this.readRow(attempt.key));
        } catch {
            // A failed read has no effect; the next try repeats it.
            return undefined;
        }
    }

    private handleFailure(attempt: ClaimAttempt, error: unknown): ClaimResult | undefined {
        if (isAmbiguous(error)) {
            attempt.unresolved = true;
            return undefined;
        }
        const retryAfterMs = error instanceof PlatformError ? error.retryAfterMs : undefined;
        return attempt.unresolved
            ? undefined
            : { type: "unavailable", retryAfterMs: retryAfterMs ?? this.settings.retryAfterMs };
    }

    private resolveRow(attempt: ClaimAttempt, row: Row | undefined): ClaimResult | undefined {
        if (row === undefined) {
            attempt.expectedVersion = 0;
            return undefined;
        }
        const stored = claimRecordSchema.parse(row.value);
        if (stored.token === attempt.record.token) {
            return this.openClaim(attempt, row.version);
        }
        const record = this.outcomeWriter.findPending(stored.token) ?? stored;
        if (record.state === "released") {
            attempt.expectedVersion = row.version;
            return undefined;
        }
        return this.resolveRecord(record, attempt.record);
    }

    private resolveRecord(record: ClaimRecord, requested: ClaimRecord): ClaimResult {
        if (record.requestDigest !== requested.requestDigest) {
            return { type: "conflict" };
        }
        if (record.state === "answered" && record.answer !== undefined) {
            return { type: "answered", answer: record.answer };
        }
        const ageMs = this.options.clock.wallMs() - record.claimedMs;
        const isLost = ageMs > this.settings.maximumOpenClaimAgeMs || this.options.isOwnerDead(record.owner);
        return record.state === "unknown" || isLost ? { type: "outcomeUnknown" } : { type: "inProgress" };
    }

    private openClaim(attempt: ClaimAttempt, version: number): ClaimResult {
        const { key, record } = attempt;
        this.openRecords.set(record.token, record);
        return { type: "claimed", claim: { key, token: record.token, version } };
    }

    /** Gives up without a claim: the request is not sent, and a commit that took or will take effect is undone. */
    private cancelAttempt(attempt: ClaimAttempt, retryAfterMs: number): ClaimResult {
        if (attempt.unresolved) {
            const record: ClaimRecord = { ...attempt.record, state: "released" };
            const outcome = { key: attempt.key, record, version: undefined, abandoned: true };
            void this.outcomeWriter.storeOutcome(outcome);
        }
        return { type: "unavailable", retryAfterMs };
    }

    private createBackoff(): { initialMs: number; maximumMs: number } {
        return { initialMs: this.settings.initialRetryDelayMs, maximumMs: this.settings.claimTimeoutMs / 4 };
    }

    private readRow(key: string): Promise<Row | undefined> {
        const { clock, tableService } = this.options;
        const timeoutMs = this.settings.callTimeoutMs;
        return runWithTimeout({ clock, timeoutMs, callName: "claim read" }, () =>
            tableService.readRow(claimTable, key),
        );
    }
}
