/**
 * The configuration in the platform's table service.
 *
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import { parseConfiguration, type Configuration } from "@pimentocleat/schema";
import {
    PlatformError,
    PlatformErrorKind,
    type TableService,
    type Transaction,
} from "@pimentocleat/services";
import type { WaitingClock } from "@pimentocleat/types";
import type { KeyWithdrawal } from "../keys/withdrawal.js";
import { buildWithdrawalAppend } from "../keys/withdrawalTable.js";
import { BoundedTableService } from "../retrying/boundedTableService.js";
import { isAmbiguous } from "../retrying/callTimeout.js";
import type {
    ApplyRequest,
    ApplyResult,
    ConfigurationStore,
    FileChange,
    FileConflict,
} from "./configurationStore.js";
import { buildSnapshot, computeFilesDigest, type ConfigurationSnapshot } from "./configurationSnapshot.js";
import { countCharacters, readChangedFiles } from "./changedFiles.js";
import { buildFileWrite, listFiles, readFileRows, type FileRows } from "./fileTable.js";
import { buildConfigurationHeadUpdate, readHeads, type ConfigurationHead, type Heads } from "./headTable.js";
import { mergeChanges, type MergedChanges } from "./mergeChanges.js";
import { buildLogWrites, readLogEntry } from "./revisionLog.js";
import { defaultRetryDelays, defaultCallTimeoutMs, isTransientError, CallRetrier } from "./callRetrier.js";

const maximumSnapshotAttempts = 5;
const defaultApplyTimeoutMs = 10_000;
const defaultIncrementalReadThreshold = 65_536;

/** Options of {@link TableConfigurationStore}. */
export interface TableConfigurationStoreOptions {
    readonly tableService: TableService;
    readonly clock: WaitingClock;
    /** Uniform in [0, 1); `Math.random` when absent. */
    readonly random?: () => number;
    /** Creates a token that no other commit has; a random UUID when absent. */
    readonly createToken?: () => string;
    /** Bound on one call, in milliseconds. */
    readonly callTimeoutMs?: number;
    /** Bound on one apply, retries included, in milliseconds. */
    readonly applyTimeoutMs?: number;
    /**
     * Size from which only changed files are read, in characters; 65,536 when absent. Below, one call that
     * reads everything is faster than two.
     */
    readonly incrementalReadThreshold?: number;
}

interface StoredState {
    readonly heads: Heads;
    readonly snapshot: ConfigurationSnapshot;
    readonly rows: FileRows;
}

interface PreparedCommit {
    readonly revision: number;
    readonly token: string;
    readonly transaction: Transaction;
}

type CommitOutcome = "committed" | "lost" | "unavailable" | "unknown";

/** Keeps one row a file and a head with the revision; every apply is one transaction. */
export class TableConfigurationStore implements ConfigurationStore {
    private readonly retrier: CallRetrier;
    private readonly table: TableService;
    private readonly createToken: () => string;
    private readonly incrementalReadThreshold: number;

    /** @param options - The table service and bounds. */
    constructor(private readonly options: TableConfigurationStoreOptions) {
        this.retrier = new CallRetrier({
            clock: options.clock,
            random: options.random ?? Math.random,
            ...defaultRetryDelays,
        });
        this.table = new BoundedTableService({
            tableService: options.tableService,
            clock: options.clock,
            callTimeoutMs: options.callTimeoutMs ?? defaultCallTimeoutMs,
        });
        this.createToken = options.createToken ?? randomUUID;
        this.incrementalReadThreshold = options.incrementalReadThreshold ?? defaultIncrementalReadThreshold;
    }

    async readSnapshot(
        head?: ConfigurationHead,
        known?: ConfigurationSnapshot,
    ): Promise<ConfigurationSnapshot> {
        if (head === undefined) {
            return (await this.readState()).snapshot;
        }
        const isLarge = known !== undefined && countCharacters(known) >= this.incrementalReadThreshold;
        const changed = isLarge ? await readChangedFiles(this.table, known, head) : undefined;
        if (changed !== undefined) {
            return changed;
        }
        const snapshot = buildSnapshot(head.revision, listFiles(await readFileRows(this.table)));
        return snapshot.digest === head.digest ? snapshot : (await this.readState()).snapshot;
    }

    async applyChanges(request: ApplyRequest): Promise<ApplyResult> {
        const deadlineMs = this.retrier.readNowMs() + (this.options.applyTimeoutMs ?? defaultApplyTimeoutMs);
        for (let attempt = 1; ; attempt += 1) {
            const result = await this.tryApply(request, deadlineMs);
            if (result !== undefined) {
                return result;
            }
            if (!(await this.retrier.waitForRetry(attempt, deadlineMs))) {
                return { type: "unavailable" };
            }
        }
    }

    /** Tries once; undefined when another operator's commit came first. */
    private async tryApply(request: ApplyRequest, deadlineMs: number): Promise<ApplyResult | undefined> {
        let state: StoredState;
        try {
            state = await this.retrier.runWithRetries(deadlineMs, () => this.readState());
        } catch (error) {
            if (isTransientError(error)) {
                return { type: "unavailable" };
            }
            throw error;
        }
        const merged = mergeChanges(state.snapshot, request.changes);
        const refusal = this.checkMerge(state, merged);
        if (refusal !== undefined) {
            return refusal;
        }
        const parsed = parseConfiguration(merged.files);
        if (parsed.configuration === undefined) {
            return { type: "invalid", problems: parsed.problems };
        }
        const commit = this.buildCommit(request, state, merged, parsed.configuration);
        return this.finishCommit(await this.commit(commit, deadlineMs), commit, merged.effective);
    }

    private checkMerge(state: StoredState, merged: MergedChanges): ApplyResult | undefined {
        const { revision } = state.snapshot;
        if (merged.conflicts.length > 0) {
            return { type: "conflict", revision, conflicts: addConflictAuthors(state, merged.conflicts) };
        }
        return merged.effective.length === 0 ? { type: "unchanged", revision } : undefined;
    }

    private finishCommit(
        outcome: CommitOutcome,
        commit: PreparedCommit,
        changes: readonly FileChange[],
    ): ApplyResult | undefined {
        const { revision } = commit;
        switch (outcome) {
            case "committed":
                return { type: "applied", revision, changedFiles: changes.map((change) => change.name) };
            case "lost":
                return undefined;
            case "unavailable":
                return { type: "unavailable" };
            case "unknown":
                return { type: "unknown", revision };
        }
    }

    private buildCommit(
        request: ApplyRequest,
        state: StoredState,
        merged: MergedChanges,
        configuration: Configuration,
    ): PreparedCommit {
        const revision = state.snapshot.revision + 1;
        const token = this.createToken();
        const appliedAtMs = this.options.clock.wallMs();
        const { author } = request;
        const headUpdate = buildConfigurationHeadUpdate(state.heads.configuration.version, {
            revision,
            digest: computeFilesDigest(merged.files),
            author,
            appliedAtMs,
        });
        const withdrawals = listNewWithdrawals(state.snapshot, configuration, {
            author,
            withdrawnAtMs: appliedAtMs,
        });
        const withdrawalAppend = buildWithdrawalAppend(state.heads.withdrawals, withdrawals);
        const files = merged.effective.map((change) => change.name);
        const transaction: Transaction = {
            conditions: [headUpdate.condition, ...withdrawalAppend.conditions],
            writes: [
                headUpdate.write,
                ...merged.effective.map((change) => buildFileWrite(change, revision, author)),
                ...buildLogWrites(revision, { token, author, files, appliedAtMs }),
                ...withdrawalAppend.writes,
            ],
        };
        return { revision, token, transaction };
    }

    /**
     * Commits. A commit whose answer was lost is sent again: both build on the same version of the head, so
     * at most one of them takes effect, and the log's token says whose.
     */
    private async commit(commit: PreparedCommit, deadlineMs: number): Promise<CommitOutcome> {
        let mayHaveCommitted = false;
        for (let attempt = 1; ; attempt += 1) {
            try {
                const result = await this.table.commitTransaction(commit.transaction);
                return result.outcome === "committed"
                    ? "committed"
                    : await this.resolveCommit(commit, mayHaveCommitted, deadlineMs);
            } catch (error) {
                if (!isTransientError(error)) {
                    throw error;
                }
                mayHaveCommitted ||= isAmbiguous(error);
                if (!(await this.retrier.waitForRetry(attempt, deadlineMs, error))) {
                    return mayHaveCommitted ? this.resolveCommit(commit, true, deadlineMs) : "unavailable";
                }
            }
        }
    }

    /** Finds out whose commit made the revision. */
    private async resolveCommit(
        commit: PreparedCommit,
        mayHaveCommitted: boolean,
        deadlineMs: number,
    ): Promise<CommitOutcome> {
        if (!mayHaveCommitted) {
            return "lost";
        }
        try {
            const entry = await this.retrier.runWithRetries(deadlineMs, () =>
                readLogEntry(this.table, commit.revision),
            );
            if (entry === undefined) {
                return "unknown";
            }
            return entry.token === commit.token ? "committed" : "lost";
        } catch (error) {
            if (isTransientError(error)) {
                return "unknown";
            }
            throw error;
        }
    }

    /** Reads heads and files that belong together. */
    private async readState(): Promise<StoredState> {
        const { table } = this;
        for (let attempt = 1; attempt <= maximumSnapshotAttempts; attempt += 1) {
            const heads = await readHeads(table);
            const rows = await readFileRows(this.table);
            const snapshot = buildSnapshot(heads.configuration.head?.revision ?? 0, listFiles(rows));
            // The files may have changed between the two reads; then their digest is not the head's.
            if (snapshot.digest === (heads.configuration.head?.digest ?? computeFilesDigest([]))) {
                return { heads, snapshot, rows };
            }
        }
        throw new PlatformError(
            PlatformErrorKind.Unavailable,
            "the configuration changes faster than it is read",
        );
    }
}

function addConflictAuthors(state: StoredState, conflicts: readonly FileConflict[]): readonly FileConflict[] {
    return conflicts.map((conflict) => {
        const row = state.rows.get(conflict.name);
        return row === undefined ? conflict : { ...conflict, revision: row.revision, author: row.author };
    });
}

/** Lists the keys that a configuration newly marks as withdrawn, so that no later edit can undo it. */
function listNewWithdrawals(
    before: ConfigurationSnapshot,
    configuration: Configuration,
    attribution: Pick<KeyWithdrawal, "author" | "withdrawnAtMs">,
): readonly KeyWithdrawal[] {
    const withdrawnBefore = new Set(
        (parseConfiguration(before.files).configuration?.keys ?? [])
            .filter((key) => key.withdrawn)
            .map((key) => `${key.id} ${key.digest}`),
    );
    return configuration.keys
        .filter((key) => key.withdrawn && !withdrawnBefore.has(`${key.id} ${key.digest}`))
        .map((key) => ({ keyId: key.id, digest: key.digest, ...attribution }));
}
