/**
 * The task that holds a node's leases and runs the duties that they permit.
 *
 * @packageDocumentation
 */
import { defaultLeaseTiming, type PoolSummary } from "@pimentocleat/policy";
import type { Pool } from "@pimentocleat/schema";
import { defaultClaimRetentionMs, LeaseManager, removeExpiredClaims, runEvery } from "@pimentocleat/state";
import { DemandDirectory } from "./demandDirectory.js";
import type { DutyOptions, DutySettings } from "./dutyOptions.js";
import { findNoticedDataCentres } from "./reclaimNotices.js";
import { formatOrderingLease, OrderingDuty } from "./orderingDuty.js";
import { UsageDuty, usageLeaseName } from "./usageDuty.js";

const claimCleaningLeaseName = "claim-cleaning";
const claimCleaningPageRows = 200;

/** Default settings of a node's duties. */
export const defaultDutySettings: DutySettings = {
    leaseTiming: defaultLeaseTiming,
    callTimeoutMs: 1_000,
    wireBoundMs: 2_000,
    orderIntervalMs: 1_000,
    usageWindowMs: 60_000,
    usageGraceMs: 20_000,
    usageFlushIntervalMs: 5_000,
    usageCopyIntervalMs: 1_000,
    usageRetentionMs: 86_400_000,
    claimRetentionMs: defaultClaimRetentionMs,
    claimCleaningIntervalMs: 10_000,
    flushTimeoutMs: 5_000,
};

/** Acquires leases and runs the duties of the leases that this node holds. */
export class NodeDuties {
    readonly usage: UsageDuty;
    private readonly settings: DutySettings;
    private readonly leases: LeaseManager;
    private readonly demand = new DemandDirectory();
    private readonly orderingDuties = new Map<string, OrderingDuty>();
    private noticedDataCentres: ReadonlySet<string> = new Set();
    private claimCleaningCursor: string | undefined;

    /** @param options - The services, the peers and the durations. */
    constructor(private readonly options: DutyOptions) {
        this.settings = { ...defaultDutySettings, ...options.settings };
        const { leaseTiming: timing, callTimeoutMs, wireBoundMs } = this.settings;
        this.usage = new UsageDuty(options, this.settings);
        this.leases = new LeaseManager({
            ...options,
            node: options.name,
            listNodes: () => options.listMembers().map((member) => member.name),
            timing,
            callTimeoutMs,
            wireBoundMs,
        });
    }

    /** @param summary - A pool summary of another node. */
    recordSummary(summary: PoolSummary): void {
        this.demand.setSummary(summary);
    }

    /** @param node - The node to remove. */
    removeNode(node: string): void {
        this.demand.removeNode(node);
    }

    /**
     * Runs the duties until the signal is aborted; leases are kept until {@link NodeDuties.releaseLeases}.
     *
     * @param signal - Stops the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        this.updateDesiredLeases();
        const { usageFlushIntervalMs, usageCopyIntervalMs, orderIntervalMs, claimCleaningIntervalMs } =
            this.settings;
        await Promise.all([
            this.leases.run(signal),
            this.runStep(usageFlushIntervalMs, signal, () => this.usage.writeOnce()),
            this.runStep(usageCopyIntervalMs, signal, () => this.usage.copyOnce()),
            this.runStep(orderIntervalMs, signal, () => this.orderOnce()),
            this.runStep(orderIntervalMs, signal, () =>
                this.usage.reportOnce(this.leases.findHeldLease(usageLeaseName)),
            ),
            this.runStep(claimCleaningIntervalMs, signal, () => this.removeExpiredClaimsOnce()),
        ]);
    }

    /**
     * Releases the leases, so that other nodes need not wait for them to expire.
     *
     * @returns A promise that resolves once no order can be in flight and the lease rows are released or the
     * table service failed.
     */
    async releaseLeases(): Promise<void> {
        await this.leases.releaseAll();
    }

    private runStep(intervalMs: number, signal: AbortSignal, step: () => Promise<unknown>): Promise<void> {
        const { clock, random, logger } = this.options;
        return runEvery({ intervalMs, clock, random, logger, signal }, step);
    }

    private updateDesiredLeases(): void {
        const { orderingService, reportService, listPools } = this.options;
        const pools = orderingService === undefined ? [] : listPools().filter((pool) => pool.ordering);
        this.leases.setDesiredLeases([
            claimCleaningLeaseName,
            ...(reportService === undefined ? [] : [usageLeaseName]),
            ...pools.map((pool) => formatOrderingLease(pool.name)),
        ]);
    }

    private async orderOnce(): Promise<void> {
        this.updateDesiredLeases();
        await this.loadNotices();
        const results = await Promise.allSettled(
            this.options.listPools().map((pool) => this.orderForPool(pool)),
        );
        const failure = results.find((result) => result.status === "rejected");
        if (failure !== undefined) {
            throw failure.reason;
        }
    }

    /** Reads the host list if this node orders servers; while the list is unavailable, the last notices apply. */
    private async loadNotices(): Promise<void> {
        const { listPools, hostList } = this.options;
        const pools = listPools();
        if (pools.some((pool) => this.leases.findHeldLease(formatOrderingLease(pool.name)) !== undefined)) {
            const hosts = await hostList.listHosts().catch(() => undefined);
            this.noticedDataCentres =
                hosts === undefined ? this.noticedDataCentres : findNoticedDataCentres(hosts, pools);
        }
    }

    private async orderForPool(pool: Pool): Promise<void> {
        const slots = this.demand.countDemandSlots(pool.name, this.options.listSummaries());
        await this.ensureOrderingDuty(pool)?.advanceOnce(pool, slots, this.noticedDataCentres);
    }

    /** Returns the ordering duty of a pool; each acquisition of the lease needs a new one. */
    private ensureOrderingDuty(pool: Pool): OrderingDuty | undefined {
        const lease = this.leases.findHeldLease(formatOrderingLease(pool.name));
        const { orderingService } = this.options;
        if (lease === undefined || orderingService === undefined || pool.ordering === undefined) {
            this.orderingDuties.delete(pool.name);
            return undefined;
        }
        const known = this.orderingDuties.get(pool.name);
        if (known?.lease === lease) {
            return known;
        }
        const { settings } = this;
        const duty = new OrderingDuty({
            ...this.options,
            node: this.options.name,
            orderingService,
            lease,
            pool: pool.name,
            settings,
        });
        this.orderingDuties.set(pool.name, duty);
        return duty;
    }

    private async removeExpiredClaimsOnce(): Promise<void> {
        if (this.leases.findHeldLease(claimCleaningLeaseName)?.isValid() !== true) {
            return;
        }
        const { tableService, clock } = this.options;
        const { claimRetentionMs: retentionMs } = this.settings;
        const after = this.claimCleaningCursor;
        const pageRows = claimCleaningPageRows;
        const step = await removeExpiredClaims({ tableService, clock, retentionMs, pageRows, after });
        this.claimCleaningCursor = step.after;
    }
}
