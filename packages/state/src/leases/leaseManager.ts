/**
 * Manages the leases that one node holds or tries to acquire.
 *
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import {
    noEras,
    readEra,
    type CommitResult,
    type EraSource,
    type Row,
    type TableService,
    type Transaction,
} from "@pimentocleat/services";
import {
    computePreferenceRank,
    computeTakeoverMs,
    defaultLeaseTiming,
    isTakeoverDue,
    updateObservation,
    type LeaseTiming,
    type ObservedLease,
} from "@pimentocleat/policy";
import type { Logger } from "@pimentocleat/telemetry";
import type { Clock, WaitingClock } from "@pimentocleat/types";
import { isAmbiguous, runWithTimeout } from "../retrying/callTimeout.js";
import { HeldLease, type LeaseHandle } from "./heldLease.js";
import {
    computeNextFencingNumber,
    findStoredLease,
    formatFenceKey,
    formatLeaseKey,
    leaseTable,
    type LeaseRecord,
    type StoredLease,
} from "./leaseRecord.js";

/** Options of {@link LeaseManager}. */
export interface LeaseManagerOptions {
    readonly tableService: TableService;
    /** The era of the table service; without it, the service never comes back from an older copy. */
    readonly eras?: EraSource;
    readonly clock: WaitingClock;
    /** Measures the validity of this node's own leases. Defaults to `clock`. */
    readonly validityClock?: Clock;
    /** Name of this node, for the order of preference and the record; holders are distinguished by their tokens. */
    readonly node: string;
    /** Lists the nodes known to be live, for the order of preference. */
    readonly listNodes: () => readonly string[];
    readonly logger: Logger;
    readonly random: () => number;
    /**
     * Whether this node should try to acquire leases now. Defaults to always. A node that holds a lease keeps
     * renewing it in any case. Returning false while many other nodes are preferred over this one saves calls to
     * the table service.
     */
    readonly isCandidate?: () => boolean;
    /** Monotonic time before which this node observes leases but acquires none, in milliseconds. Defaults to 0. */
    readonly earliestAcquisitionMs?: number;
    readonly createToken?: () => string;
    readonly timing?: LeaseTiming;
    readonly callTimeoutMs?: number;
    /** Poll interval of a node that holds no lease, in milliseconds. Defaults to the renewal interval. */
    readonly watchIntervalMs?: number;
    /** Additional delay before a takeover for each node that is preferred over this one, in milliseconds. */
    readonly preferenceDelayMs?: number;
    /** Maximum time that an order sent under these leases is in flight, in milliseconds. */
    readonly wireBoundMs: number;
}

interface PendingAcquisition {
    readonly token: string;
    readonly sentMs: number;
    readonly fencingNumber: number;
    readonly isCleanHandover: boolean;
}

const defaultCallTimeoutMs = 1_000;
const defaultPreferenceDelayMs = 1_000;
const maximumPreferenceRank = 5;
/** Delay after a failed step, as a share of the regular interval. */
const retryIntervalShare = 0.2;

/**
 * Acquires, renews and releases leases. One scan reads all leases, and one transaction renews all held leases that
 * are due. The fencing number increases with each acquisition and its row is never deleted.
 */
export class LeaseManager {
    private readonly timing: LeaseTiming;
    private readonly validityClock: Clock;
    private readonly observed = new Map<string, ObservedLease>();
    private readonly acquisitions = new Map<string, PendingAcquisition>();
    private readonly held = new Map<string, HeldLease>();
    private desired: readonly string[] = [];
    private contactSinceMs: number | undefined;
    private stopping = false;
    private readonly eras: EraSource;
    /** Era of the table service at the last step. */
    private era = 0;
    /** Monotonic time before which no lease is acquired, because an earlier era's holder may still be valid. */
    private eraSettledMs = Number.NEGATIVE_INFINITY;

    /** @param options - The table service, the clock and the timing. */
    constructor(private readonly options: LeaseManagerOptions) {
        this.timing = options.timing ?? defaultLeaseTiming;
        this.validityClock = options.validityClock ?? options.clock;
        this.eras = options.eras ?? noEras;
    }

    /**
     * Replaces the list of leases that this node tries to hold.
     *
     * @param names - Names of the leases.
     */
    setDesiredLeases(names: readonly string[]): void {
        this.desired = [...names];
    }

    /**
     * Finds a lease that this node holds, valid or not.
     *
     * @param name - Name of the lease.
     * @returns The lease; the same object until the lease is lost or released.
     */
    findHeldLease(name: string): LeaseHandle | undefined {
        return this.held.get(name);
    }

    /**
     * Renews and acquires leases until the signal is aborted.
     *
     * @param signal - Stops the loop; leases are kept until {@link LeaseManager.releaseAll}.
     */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.recordEra();
            const isIdle = this.held.size === 0 && this.options.isCandidate?.() === false;
            const succeeded = isIdle || (await this.advanceOnce());
            this.recordContact(succeeded && !isIdle);
            const share = succeeded ? 0.8 + 0.2 * this.options.random() : retryIntervalShare;
            const { watchIntervalMs = this.timing.renewIntervalMs } = this.options;
            const intervalMs = this.held.size > 0 ? this.timing.renewIntervalMs : watchIntervalMs;
            const pauseMs = isIdle ? intervalMs * share : this.computePauseMs(intervalMs * share);
            await this.options.clock.wait(pauseMs, signal);
        }
    }

    /**
     * Computes for how long every step of this node has succeeded in reaching the table service.
     *
     * @returns The time in milliseconds; 0 after a failure and while this node does not try to acquire leases.
     */
    getContactDurationMs(): number {
        return this.contactSinceMs === undefined ? 0 : this.options.clock.monotonicMs() - this.contactSinceMs;
    }

    /**
     * Runs one step: reads all leases, renews those held and due, and acquires those that are available.
     *
     * @returns Whether the step succeeded.
     */
    async advanceOnce(): Promise<boolean> {
        try {
            const rows = await this.scanLeases();
            this.recordEra();
            for (const name of new Set([...this.desired, ...this.held.keys()])) {
                this.recordLease(name, findStoredLease(rows, name));
            }
            await this.renewHeld();
            for (const name of this.desired) {
                await this.acquireIfDue(name, findStoredLease(rows, name));
            }
            return true;
        } catch (error) {
            this.options.logger.writeEvent("leaseStepFailed", { reason: String(error) });
            return false;
        }
    }

    /**
     * Releases all leases. Ends their validity first, then waits until the last order must have arrived, and then
     * releases their rows.
     *
     * @returns A promise that resolves when the rows are released or the table service has failed.
     */
    async releaseAll(): Promise<void> {
        this.stopping = true;
        if (this.held.size === 0 && this.acquisitions.size === 0) {
            return;
        }
        const heldLeases = [...this.held.values()];
        heldLeases.forEach((lease) => lease.close());
        await this.options.clock.wait(this.options.wireBoundMs + this.timing.marginMs);
        for (const lease of heldLeases) {
            await this.releaseLease(lease);
        }
        if (this.acquisitions.size > 0) {
            // An acquisition without a response may have succeeded; the scan finds and releases it.
            await this.advanceOnce();
        }
    }

    /** Releases the row of a lease. If that fails, the lease expires on its own. */
    private async releaseLease(lease: HeldLease): Promise<void> {
        this.held.delete(lease.name);
        const record = this.buildRecord(lease.fencingNumber, true);
        await this.commit(this.buildRenewal([lease], () => record)).catch((error: unknown) =>
            this.options.logger.writeEvent("leaseNotReleased", { lease: lease.name, reason: String(error) }),
        );
    }

    private recordContact(hasSucceeded: boolean): void {
        this.contactSinceMs = hasSucceeded
            ? (this.contactSinceMs ?? this.options.clock.monotonicMs())
            : undefined;
    }

    /** Computes the time until the next regular poll, or until the next takeover is due if that is earlier. */
    private computePauseMs(intervalMs: number): number {
        const { clock, earliestAcquisitionMs = 0 } = this.options;
        const nowMs = clock.monotonicMs();
        const pauses = this.desired
            .filter((name) => !this.held.has(name))
            .flatMap((name) => this.observed.get(name) ?? [])
            .map((observed) => computeTakeoverMs(observed, this.timing, 0))
            .map((takeoverMs) => Math.max(takeoverMs, earliestAcquisitionMs) - nowMs);
        return Math.min(intervalMs, ...pauses.filter((pauseMs) => pauseMs > 0));
    }

    /**
     * Gives all leases up when the table service has come back from an older copy: what it says of holders and fencing
     * numbers is of the past. After the longest validity of an earlier holder they are acquired anew, also in the first
     * era that this process sees, which may have just begun.
     */
    private recordEra(): void {
        const era = this.eras.getEra();
        if (era <= this.era) {
            return;
        }
        const { clock, logger } = this.options;
        if (this.era > 0) {
            logger.writeEvent("leaseEraStarted", { era });
        }
        this.era = era;
        this.eraSettledMs = clock.monotonicMs() + this.timing.durationMs + this.timing.marginMs;
        [...this.held.values()].forEach((lease) => this.removeLease(lease));
        this.acquisitions.clear();
        this.observed.clear();
    }

    private recordLease(name: string, stored: StoredLease): void {
        const { record, version } = stored;
        const seen = { version, released: record?.released ?? false };
        const nowMs = this.options.clock.monotonicMs();
        this.observed.set(name, updateObservation(this.observed.get(name), seen, nowMs));
        const lease = this.held.get(name);
        if (lease !== undefined) {
            if (!lease.recordWrite(record?.token ?? "", version)) {
                this.removeLease(lease);
            }
            return;
        }
        const pending = this.acquisitions.get(name);
        if (record !== undefined && pending?.token === record.token) {
            this.addLease(name, pending, version, stored.fenceVersion);
        }
    }

    private async renewHeld(): Promise<void> {
        const due = [...this.held.values()].filter((lease) => lease.isRenewalDue());
        if (due.length === 0) {
            return;
        }
        const records = new Map(due.map((lease) => [lease, this.buildRecord(lease.fencingNumber, false)]));
        due.forEach((lease) => lease.startRenewal(records.get(lease)!.token));
        const result = await this.commit(this.buildRenewal(due, (lease) => records.get(lease)!));
        if (result.outcome === "conflict") {
            // The next scan shows which lease is lost; the others stay valid until they expire.
            throw new Error(
                "lease renewal conflicted with another write; the next scan shows the lost lease",
            );
        }
        due.forEach((lease) => lease.recordWrite(records.get(lease)!.token, result.version));
    }

    private async acquireIfDue(name: string, stored: StoredLease): Promise<void> {
        const { clock, node, listNodes, preferenceDelayMs = defaultPreferenceDelayMs } = this.options;
        const observed = this.observed.get(name);
        const earliestMs = Math.max(this.options.earliestAcquisitionMs ?? 0, this.eraSettledMs);
        const isAllowed = !this.stopping && clock.monotonicMs() >= earliestMs;
        if (observed === undefined || this.held.has(name) || !isAllowed) {
            return;
        }
        const rank = Math.min(computePreferenceRank(name, node, listNodes()), maximumPreferenceRank);
        if (!isTakeoverDue(observed, clock.monotonicMs(), this.timing, rank * preferenceDelayMs)) {
            return;
        }
        const record = this.buildRecord(computeNextFencingNumber(stored, this.era), false);
        const { token, fencingNumber } = record;
        const pending = {
            token,
            fencingNumber,
            sentMs: this.validityClock.monotonicMs(),
            isCleanHandover: stored.record === undefined || stored.record.released,
        };
        this.acquisitions.set(name, pending);
        const result = await this.commitAcquisition(name, stored, record);
        if (result?.outcome !== "committed") {
            return;
        }
        if (readEra(result.version) !== this.era) {
            // The fencing number is of an earlier era, and that era's holder may still be valid.
            this.acquisitions.delete(name);
            return;
        }
        this.addLease(name, pending, result.version, result.version);
    }

    /** Returns undefined when the outcome is unknown; the next scan shows it. */
    private async commitAcquisition(
        name: string,
        stored: StoredLease,
        record: LeaseRecord,
    ): Promise<CommitResult | undefined> {
        const lease = { table: leaseTable, key: formatLeaseKey(name) };
        const fence = { table: leaseTable, key: formatFenceKey(name) };
        try {
            return await this.commit({
                conditions: [
                    { ...lease, version: stored.version },
                    { ...fence, version: stored.fenceVersion },
                ],
                writes: [
                    { ...lease, value: record },
                    { ...fence, value: { fencingNumber: record.fencingNumber } },
                ],
            });
        } catch (error) {
            if (isAmbiguous(error)) {
                return undefined;
            }
            throw error;
        }
    }

    private addLease(name: string, pending: PendingAcquisition, version: number, fenceVersion: number): void {
        const lease = new HeldLease(
            { ...pending, name, version, fenceVersion, era: this.era },
            this.timing,
            this.validityClock,
            this.eras,
        );
        this.acquisitions.delete(name);
        if (this.stopping) {
            // No order was sent under this lease.
            lease.close();
            void this.releaseLease(lease);
            return;
        }
        this.held.set(name, lease);
        this.options.logger.writeEvent("leaseAcquired", { lease: name, fencingNumber: lease.fencingNumber });
    }

    /** The lease is not closed: after a new era its handle tells whether another node can have held it. */
    private removeLease(lease: HeldLease): void {
        this.held.delete(lease.name);
        const { name, fencingNumber } = lease;
        this.options.logger.writeEvent("leaseLost", { lease: name, fencingNumber });
    }

    private buildRecord(fencingNumber: number, released: boolean): LeaseRecord {
        const { node: holder, createToken = randomUUID } = this.options;
        return { holder, token: createToken(), fencingNumber, released };
    }

    private buildRenewal(
        leases: readonly HeldLease[],
        findRecord: (lease: HeldLease) => LeaseRecord,
    ): Transaction {
        const rows = leases.map((lease) => ({ lease, table: leaseTable, key: formatLeaseKey(lease.name) }));
        return {
            conditions: rows.map(({ lease, table, key }) => ({ table, key, version: lease.getVersion() })),
            writes: rows.map(({ lease, table, key }) => ({ table, key, value: findRecord(lease) })),
        };
    }

    private async scanLeases(): Promise<ReadonlyMap<string, Row>> {
        const rows = await this.runCall("lease scan", () => this.options.tableService.scanRows(leaseTable));
        return new Map(rows.map((row) => [row.key, row]));
    }

    private commit(transaction: Transaction): Promise<CommitResult> {
        return this.runCall("lease commit", () => this.options.tableService.commitTransaction(transaction));
    }

    private runCall<Result>(callName: string, call: () => Promise<Result>): Promise<Result> {
        const { clock, callTimeoutMs: timeoutMs = defaultCallTimeoutMs } = this.options;
        return runWithTimeout({ clock, timeoutMs, callName }, call);
    }
}
