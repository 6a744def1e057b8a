/**
 * The duty of ordering one pool's backend servers, from one acquisition of its lease until its loss.
 *
 * @packageDocumentation
 */
import type { OrderingService, TableService } from "@pimentocleat/services";
import { defaultPlannerSettings, ServerPlanner, type ServerOption } from "@pimentocleat/policy";
import type { Pool } from "@pimentocleat/schema";
import { OrderSender, type LeaseHandle } from "@pimentocleat/state";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { DutySettings } from "./dutyOptions.js";

/** Options of {@link OrderingDuty}. */
export interface OrderingDutyOptions {
    readonly lease: LeaseHandle;
    /** Name of the pool. */
    readonly pool: string;
    readonly node: string;
    readonly tableService: TableService;
    readonly orderingService: OrderingService;
    readonly clock: WaitingClock;
    readonly logger: Logger;
    readonly settings: DutySettings;
}

/**
 * Formats the name of a pool's ordering lease.
 *
 * @param pool - Name of the pool.
 * @returns The name of the lease.
 */
export function formatOrderingLease(pool: string): string {
    return `ordering/${pool}`;
}

/** Plans and sends orders while the lease is held. */
export class OrderingDuty {
    readonly lease: LeaseHandle;
    private readonly sender: OrderSender;
    private readonly planner = new ServerPlanner();
    private hasLoadedIntents = false;

    /** @param options - The lease, the pool and the services. */
    constructor(private readonly options: OrderingDutyOptions) {
        const { lease, settings, orderingService } = options;
        this.lease = lease;
        this.sender = new OrderSender({
            ...options,
            receiver: {
                checksFencing: orderingService.checksFencing ?? false,
                wireBoundMs: settings.wireBoundMs,
            },
            marginMs: settings.leaseTiming.marginMs,
            callTimeoutMs: settings.callTimeoutMs,
        });
    }

    /**
     * Plans the servers for the current demand and sends the orders that changed.
     *
     * @param pool - The current configuration of the pool.
     * @param demandSlots - Number of slots that the current demand needs.
     * @param noticedDataCentres - Data centres whose reclaimable servers are under notice.
     */
    async advanceOnce(
        pool: Pool,
        demandSlots: number,
        noticedDataCentres: ReadonlySet<string>,
    ): Promise<void> {
        const { clock, logger } = this.options;
        this.planner.updateSettings({ ...defaultPlannerSettings, ...pool.ordering });
        await this.ensureIntentsLoaded();
        const options = listServerOptions(pool, noticedDataCentres);
        const slots = pool.servers.map((server) => server.slots);
        const nowMs = clock.monotonicMs();
        const slotsPerServer = Math.max(1, Math.min(...slots));
        for (const servers of this.planner.planServers({ nowMs, demandSlots, slotsPerServer, options })) {
            const result = await this.sender.sendDesired({ ...servers, pool: pool.name });
            const fields = { pool: pool.name, dataCentre: servers.dataCentre, count: servers.count };
            if (result.type === "accepted") {
                this.planner.recordAccepted(servers);
                logger.writeEvent("serversOrdered", fields);
            }
            if (result.type === "failed") {
                logger.writeEvent("orderFailed", { ...fields, reason: result.reason });
            }
            if (result.type === "noneAvailable") {
                this.planner.recordNoneAvailable(servers, clock.monotonicMs(), result.retryAfterMs);
                logger.writeEvent("serversNotAvailable", fields);
            }
        }
    }

    private async ensureIntentsLoaded(): Promise<void> {
        if (!this.hasLoadedIntents) {
            this.planner.recordStoredPlan(await this.sender.loadIntents(), this.options.clock.monotonicMs());
            this.hasLoadedIntents = true;
        }
    }
}

/** Lists the combinations of data centre and reclaimability among a pool's servers, each at its lowest cost. */
function listServerOptions(pool: Pool, noticedDataCentres: ReadonlySet<string>): readonly ServerOption[] {
    const options = new Map<string, ServerOption>();
    for (const { dataCentre, reclaimable, costPerHour } of pool.servers) {
        const key = `${dataCentre}/${String(reclaimable)}`;
        const lowest = Math.min(costPerHour, options.get(key)?.costPerHour ?? costPerHour);
        const underNotice = reclaimable && noticedDataCentres.has(dataCentre);
        options.set(key, { dataCentre, reclaimable, costPerHour: lowest, underNotice });
    }
    return [...options.values()];
}
