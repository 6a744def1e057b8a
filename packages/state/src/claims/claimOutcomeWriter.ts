/**
 * Writes the outcomes of claims and retries in the background while the table service is unavailable.
 *
 * @packageDocumentation
 */
import type { Row, TableService } from "@pimentocleat/services";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import { computeBackoffMs, type BackoffOptions } from "../retrying/backoff.js";
import { isAmbiguous, runWithTimeout } from "../retrying/callTimeout.js";
import type { GroupCommitter } from "../retrying/groupCommitter.js";
import { claimRecordSchema, claimTable, type ClaimRecord } from "./claimRecord.js";

/** The final record of a claim, not yet stored. */
export interface PendingOutcome {
    readonly key: string;
    readonly record: ClaimRecord;
    /** Expected version of the claim's row; undefined if the row has to be read first. */
    readonly version: number | undefined;
    /** Whether the outcome of the claim's own commit is unknown and the request was never sent. */
    readonly abandoned: boolean;
}

/** Options of {@link ClaimOutcomeWriter}. */
export interface ClaimOutcomeWriterOptions {
    readonly tableService: TableService;
    readonly committer: GroupCommitter;
    readonly clock: WaitingClock;
    readonly random: () => number;
    readonly logger: Logger;
    readonly callTimeoutMs: number;
    readonly backoff: BackoffOptions;
    /** Maximum number of outcomes in memory; beyond it the oldest is dropped and its claim later reads as unknown. */
    readonly maximumPending: number;
}

/**
 * Writes the final records of claims. Only the process that owns a claim's token writes its outcome. If the
 * result of the claim's commit is unknown and the claim was never used, the claim is released: its row is
 * rewritten, or inserted as released if absent, so that the condition of a late commit fails.
 */
export class ClaimOutcomeWriter {
    private readonly pending = new Map<string, ClaimRecord>();
    private closed = false;

    /** @param options - The table service, the committer, the clock and the limits. */
    constructor(private readonly options: ClaimOutcomeWriterOptions) {}

    /**
     * Finds an outcome of this process that is not stored yet.
     *
     * @param token - The claim's token.
     * @returns The final record, or undefined if none is pending for the token.
     */
    findPending(token: string): ClaimRecord | undefined {
        return this.pending.get(token);
    }

    /** @returns The number of outcomes that are not stored yet. */
    countPending(): number {
        return this.pending.size;
    }

    /** Stops the background retries after their current attempt. */
    close(): void {
        this.closed = true;
    }

    /**
     * Stores an outcome. If the first attempt fails, retries continue in the background.
     *
     * @param outcome - The final record and what is known about its row.
     * @returns A promise that resolves after the first attempt.
     */
    async storeOutcome(outcome: PendingOutcome): Promise<void> {
        this.addPending(outcome.record);
        const next = await this.tryStore(outcome);
        if (next === undefined) {
            this.pending.delete(outcome.record.token);
            return;
        }
        this.options.logger.writeEvent("claimOutcomeDelayed", { requestId: outcome.record.requestId });
        void this.retryUntilStored(next);
    }

    private addPending(record: ClaimRecord): void {
        const oldest = this.pending.keys().next();
        if (this.pending.size >= this.options.maximumPending && !oldest.done) {
            this.pending.delete(oldest.value);
            this.options.logger.writeEvent("claimOutcomeDropped", {});
        }
        this.pending.set(record.token, record);
    }

    private async retryUntilStored(first: PendingOutcome): Promise<void> {
        let outcome: PendingOutcome | undefined = first;
        const { token } = first.record;
        for (let attempt = 1; outcome !== undefined; attempt += 1) {
            const waitMs = computeBackoffMs(this.options.backoff, attempt, this.options.random);
            await this.options.clock.wait(waitMs);
            if (this.closed || !this.pending.has(token)) {
                return;
            }
            outcome = await this.tryStore(outcome);
        }
        this.pending.delete(token);
    }

    /** Returns the outcome to retry, or undefined when nothing remains to be stored. */
    private async tryStore(outcome: PendingOutcome): Promise<PendingOutcome | undefined> {
        try {
            if (outcome.version === undefined) {
                return await this.resolveVersion(outcome);
            }
            const { key, version, record: value } = outcome;
            const write = { table: claimTable, key, version, value };
            const result = await this.options.committer.commitWrite(write);
            return result.outcome === "committed" ? undefined : { ...outcome, version: undefined };
        } catch (error) {
            return isAmbiguous(error) ? { ...outcome, version: undefined } : outcome;
        }
    }

    /** Reads the row and writes the outcome immediately if the row does not have it yet. */
    private async resolveVersion(outcome: PendingOutcome): Promise<PendingOutcome | undefined> {
        const row = await this.readRow(outcome.key);
        if (row === undefined) {
            return outcome.abandoned ? this.tryStore({ ...outcome, version: 0 }) : undefined;
        }
        const stored = claimRecordSchema.parse(row.value);
        return isWriteNeeded(outcome, stored)
            ? this.tryStore({ ...outcome, version: row.version })
            : undefined;
    }

    private readRow(key: string): Promise<Row | undefined> {
        const { clock, callTimeoutMs: timeoutMs, tableService } = this.options;
        return runWithTimeout({ clock, timeoutMs, callName: "claim read" }, () =>
            tableService.readRow(claimTable, key),
        );
    }
}

/**
 * Checks whether an outcome still has to be written over a stored record. An abandoned claim also rewrites the
 * released record of another claim, because the new row version makes its own late commit fail.
 */
function isWriteNeeded(outcome: PendingOutcome, stored: ClaimRecord): boolean {
    if (stored.token === outcome.record.token) {
        return stored.state === "claimed";
    }
    return outcome.abandoned && stored.state === "released";
}
