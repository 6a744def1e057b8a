/**
 * Claims kept in the platform's table service.
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

/** Bounds of {@link TableClaimStore}; durations in milliseconds. */
export interface ClaimStoreSettings {
    /** Bound on one call to the table service. */
    readonly callTimeoutMs: number;
    /** Bound on one claim, retries included. */
    readonly claimTimeoutMs: number;
    /** When a caller should come back after `unavailable`. */
    readonly retryAfterMs: number;
    /** Age at which an open claim reads as unknown, although its owner is not known to be gone. */
    readonly maximumOpenClaimAgeMs: number;
    /** Longest stored answer body, in characters of base64. */
    readonly maximumAnswerBytes: number;
    /** Least time between two transactions of this node. */
    readonly groupIntervalMs: number;
    /** Transactions a second that all nodes together may use; with more nodes the groups get larger. */
    readonly writesPerSecond: number;
    readonly maximumGroupRows: number;
    readonly maximumPending: number;
    readonly initialRetryDelayMs: number;
    readonly maximumRetryDelayMs: number;
}

/** Settings that hold unless overridden. */
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
    /** Tells whether an incarnation of a node is known to be gone for ever. */
    readonly isOwnerDead: (owner: string) => boolean;
    readonly createToken?: () => string;
    /** This node's incarnation, recorded as the owner of its claims; the request's node when absent. */
    readonly owner?: string;
    /** Counts the nodes known to run, this one included; 1 when absent. */
    readonly countNodes?: () => number;
    readonly settings?: Partial<ClaimStoreSettings>;
}

const millisecondsPerSecond = 1_000;

/** One try to claim: its record, and what is known about its commits so far. */
interface ClaimAttempt {
    readonly key: string;
    readonly record: ClaimRecord;
    readonly deadlineMs: number;
    /** Version that the row must have; 0 for absent. */
    expectedVersion: number;
    /** Whether a commit of this attempt may have taken, or may still take, effect. */
    unresolved: boolean;
}

/**
 * Claims by conditional insert. Each claim carries a unique token, so a commit with a lost answer may be
 * tried again: whoever finds its own token in the row holds the claim. A claim is never taken over.
 */
export class TableClaimStore implements ClaimStore {
    private readonly settings: ClaimStoreSettings;
    private readonly committer: GroupCommitter;
    private readonly outcomeWriter: ClaimOutcomeWriter;
    private readonly openRecords = new Map<string, ClaimRecord>();

    /** @param options - The table service, the clock and the bounds. */
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

    /** @returns How many outcomes are not stored yet. */
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

    /** Returns undefined when another try is needed. */
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
            // A failed read has no effect; it is repeated with the next try.
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

    private resolveRecord(record: ClaimRecord, wanted: ClaimRecord): ClaimResult {
        if (record.requestDigest !== wanted.requestDigest) {
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

    /** Gives up without a claim: nothing is sent, and a commit that took or takes effect is undone. */
    private cancelAttempt(attempt: ClaimAttempt, retryAfterMs: number): ClaimResult {
        if (attempt.unresolved) {
            const record: ClaimRecord = { ...attempt.record, state: "released" };
            const settlement = { key: attempt.key, record, version: undefined, abandoned: true };
            void this.outcomeWriter.storeOutcome(settlement);
        }
        return { type: "unavailable", retryAfterMs };
    }

    private createBackoff(): { firstMs: number; longestMs: number } {
        return { firstMs: this.settings.initialRetryDelayMs, longestMs: this.settings.claimTimeoutMs / 4 };
    }

    private readRow(key: string): Promise<Row | undefined> {
        const { clock, tableService } = this.options;
        const timeoutMs = this.settings.callTimeoutMs;
        return runWithTimeout({ clock, timeoutMs, callName: "claim read" }, () =>
            tableService.readRow(claimTable, key),
        );
    }
}
