/**
 * Writes the outcomes of claims, in the background while the table service is down.
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

/** A settled record that is not stored yet. */
export interface PendingOutcome {
    readonly key: string;
    readonly record: ClaimRecord;
    /** Version of the claim's row; undefined if it has to be read first. */
    readonly version: number | undefined;
    /** Whether the claim's commit is unresolved and nothing was sent. */
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
    /** Most settlements kept in memory; the oldest is dropped, its claim then reads as unknown later. */
    readonly maximumPending: number;
}

/**
 * Writes settled records. Only the owner of a claim's token settles it. A claim whose commit is unresolved
 * and which was never used is released: its row is rewritten, or inserted as released if it is absent, so
 * that a commit that arrives late finds its condition broken.
 */
export class ClaimOutcomeWriter {
    private readonly pending = new Map<string, ClaimRecord>();
    private closed = false;

    /** @param options - The table service, the clock and the bounds. */
    constructor(private readonly options: ClaimOutcomeWriterOptions) {}

    /**
     * Finds a settlement of this process that is not stored yet.
     *
     * @param token - The claim's token.
     * @returns The settled record.
     */
    findPending(token: string): ClaimRecord | undefined {
        return this.pending.get(token);
    }

    /** @returns How many settlements are not stored yet. */
    countPending(): number {
        return this.pending.size;
    }

    /** Ends the background retries after their current step. */
    close(): void {
        this.closed = true;
    }

    /**
     * Stores a settlement; goes on in the background if the first try fails.
     *
     * @param outcome - The settled record.
     * @returns Resolves after the first try.
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
        let settlement: PendingOutcome | undefined = first;
        const { token } = first.record;
        for (let attempt = 1; settlement !== undefined; attempt += 1) {
            const waitMs = computeBackoffMs(this.options.backoff, attempt, this.options.random);
            await this.options.clock.wait(waitMs);
            if (this.closed || !this.pending.has(token)) {
                return;
            }
            settlement = await this.tryStore(settlement);
        }
        this.pending.delete(token);
    }

    /** Returns what is still to be stored, or undefined when nothing is. */
    private async tryStore(settlement: PendingOutcome): Promise<PendingOutcome | undefined> {
        try {
            if (settlement.version === undefined) {
                return await this.resolveVersion(settlement);
            }
            const { key, version, record: value } = settlement;
            const write = { table: claimTable, key, version, value };
            const result = await this.options.committer.commitWrite(write);
            return result.outcome === "committed" ? undefined : { ...settlement, version: undefined };
        } catch (error) {
            return isAmbiguous(error) ? { ...settlement, version: undefined } : settlement;
        }
    }

    /** Reads the row back and writes at once if it still has to be settled. */
    private async resolveVersion(settlement: PendingOutcome): Promise<PendingOutcome | undefined> {
        const row = await this.readRow(settlement.key);
        if (row === undefined) {
            return settlement.abandoned ? this.tryStore({ ...settlement, version: 0 }) : undefined;
        }
        const stored = claimRecordSchema.parse(row.value);
        return isWriteNeeded(settlement, stored)
            ? this.tryStore({ ...settlement, version: row.version })
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
 * Tells whether a settlement still has to be written over a stored record. An abandoned claim also rewrites
 * a released record of another claim: the new version breaks the condition of its own late commit.
 */
function isWriteNeeded(settlement: PendingOutcome, stored: ClaimRecord): boolean {
    if (stored.token === settlement.record.token) {
        return stored.state === "claimed";
    }
    return settlement.abandoned && stored.state === "released";
}
