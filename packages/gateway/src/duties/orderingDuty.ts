/**
 * Orders the backend servers of one service while its lease is held.
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

/** Delay after a failed order, in milliseconds; every order of a failing store or platform costs calls in vain. */
const failedOrderRetryMs = 1_000;

/** Options of {@link OrderingDuty}. */
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

/** Plans and sends orders from one acquisition of a lease until its loss. */
export class OrderingDuty {
    readonly lease: LeaseHandle;
    private readonly sender: OrderSender;
    private readonly plan: OrderPlan;
    private hasLoadedIntents = false;
    /** Monotonic time until which no order is sent, in milliseconds. */
    private retryAtMs = Number.NEGATIVE_INFINITY;

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
     * Sends the orders whose desired number of servers changed.
     *
     * @param rule - Limits and prices.
     * @param servers - All registered servers of the service.
     * @param evacuated - The evacuated data centres, where nothing is ordered.
     */
    async advanceOnce(
        rule: OrderingRule,
        servers: readonly RegisteredServer[],
        evacuated: ReadonlySet<string> = new Set(),
    ): Promise<void> {
        if (this.options.clock.monotonicMs() < this.retryAtMs) {
            return;
        }
        if (!this.hasLoadedIntents) {
            this.plan.recordIntents(await this.sender.loadIntents());
            this.hasLoadedIntents = true;
        }
        const { service, logger } = this.options;
        for (const lost of this.plan.listLost(rule, servers, evacuated)) {
            this.sender.clearAccepted({ ...lost, pool: service });
        }
        for (const desired of this.plan.planOrders(rule, servers, evacuated)) {
            const baseline = this.plan.readBaseline();
            const result = await this.sender.sendDesired({ ...desired, pool: service, baseline });
            const { dataCentre, reclaimable, count } = desired;
            const fields = { service, dataCentre, reclaimable, count };
            if (result.type === "accepted") {
                this.plan.recordAccepted(desired);
                logger.writeEvent("serversOrdered", fields);
            }
            if (result.type === "failed") {
                // The store or the platform fails; the other orders would fail alike.
                logger.writeEvent("orderFailed", { ...fields, reason: result.reason });
                this.retryAtMs = this.options.clock.monotonicMs() + failedOrderRetryMs;
                return;
            }
            if (result.type === "noneAvailable") {
                this.plan.recordNoneAvailable(desired, result.retryAfterMs);
                logger.writeEvent("serversNotAvailable", fields);
            }
        }
    }
}
