/**
 * The duty of ordering one service's backend servers, for one tenure of its lease.
 *
 * @packageDocumentation
 */
import type { OrderingService, TableService } from "@pimentocleat/services";
import { OrderSender, type LeaseHandle } from "@pimentocleat/state";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { OrderingRule } from "../configuration/gatewayConfiguration.js";
import type { DutySettings } from "./dutySettings.js";
import { OrderPlan } from "./orderPlan.js";

/** Options of an {@link OrderingDuty}. */
export interface OrderingDutyOptions {
    readonly lease: LeaseHandle;
    readonly service: string;
    readonly node: string;
    readonly tableService: TableService;
    readonly orderingService: OrderingService;
    readonly clock: WaitingClock;
    readonly logger: Logger;
    readonly settings: DutySettings;
}

/** Plans and sends orders while the lease is held. */
export class OrderingDuty {
    readonly lease: LeaseHandle;
    private readonly sender: OrderSender;
    private readonly plan: OrderPlan;
    private hasLoadedIntents = false;

    /** @param options - The lease, the service and the platform. */
    constructor(private readonly options: OrderingDutyOptions) {
        const { lease, service, orderingService, settings, clock } = options;
        this.lease = lease;
        this.plan = new OrderPlan(clock);
        this.sender = new OrderSender({
            ...options,
            pool: service,
            receiver: {
                checksFencing: orderingService.checksFencing ?? false,
                wireBoundMs: settings.wireBoundMs,
            },
            marginMs: settings.leaseTiming.marginMs,
            callTimeoutMs: settings.callTimeoutMs,
        });
    }

    /**
     * Sends what changed.
     *
     * @param rule - Bounds and prices.
     * @param servers - All registered servers of the service.
     */
    async advanceOnce(rule: OrderingRule, servers: readonly RegisteredServer[]): Promise<void> {
        if (!this.hasLoadedIntents) {
            this.plan.recordIntents(await this.sender.loadIntents());
            this.hasLoadedIntents = true;
        }
        const { service, logger } = this.options;
        for (const lost of this.plan.listLost(rule, servers)) {
            this.sender.clearAccepted({ ...lost, pool: service });
        }
        for (const wanted of this.plan.planOrders(rule, servers)) {
            const result = await this.sender.sendDesired({ ...wanted, pool: service });
            const { dataCentre, reclaimable, count } = wanted;
            const fields = { service, dataCentre, reclaimable, count };
            if (result.type === "accepted") {
                this.plan.recordAccepted(wanted);
                logger.writeEvent("serversOrdered", fields);
            }
            if (result.type === "failed") {
                logger.writeEvent("orderFailed", { ...fields, reason: result.reason });
            }
            if (result.type === "noneAvailable") {
                this.plan.recordNoneAvailable(wanted, result.retryAfterMs);
                logger.writeEvent("serversNotAvailable", fields);
            }
        }
    }
}
