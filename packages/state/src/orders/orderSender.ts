/**
 * Sends the orders for one pool on behalf of one holder of the ordering duty.
 *
 * @packageDocumentation
 */
import type { OrderingService, OrderResult, TableService } from "@pimentocleat/services";
import type { ReceiverTraits } from "@pimentocleat/policy";
import type { WaitingClock } from "@pimentocleat/types";
import type { LeaseHandle } from "../leases/heldLease.js";
import { isAmbiguous, runWithTimeout } from "../retrying/callTimeout.js";
import {
    formatOrderKey,
    formatOrderPrefix,
    orderIntentSchema,
    orderTable,
    type OrderIntent,
    type DesiredServers,
} from "./orderRecord.js";

/** Options of {@link OrderSender}. */
export interface OrderSenderOptions {
    readonly tableService: TableService;
    readonly orderingService: OrderingService;
    readonly clock: WaitingClock;
    /** The lease under which this sender works. Each acquisition of the lease needs a new sender. */
    readonly lease: LeaseHandle;
    readonly node: string;
    readonly pool: string;
    readonly receiver: ReceiverTraits;
    /** Delay added to the receiver's wire bound after an order with an unknown outcome, in milliseconds. */
    readonly marginMs: number;
    readonly callTimeoutMs: number;
}

/** The result of sending a desired state. */
export type SendResult =
    /** The platform accepted this state earlier under the same lease. */
    | { readonly type: "unchanged" }
    | { readonly type: "accepted" }
    | { readonly type: "noneAvailable"; readonly retryAfterMs: number }
    /** The lease is not valid, or an earlier order may still be in flight. */
    | { readonly type: "notAllowed" }
    /** The outcome is unknown or the store did not respond; the caller should retry. */
    | { readonly type: "failed"; readonly reason: string };

interface StoredIntent {
    readonly version: number;
    readonly intent: OrderIntent;
}

/**
 * Stores the intent under the condition of the lease's fence, checks the lease in the same tick in which it sends the
 * order, and limits the time that the order is in flight. Calls must not overlap.
 */
export class OrderSender {
    private intents: Map<string, StoredIntent> | undefined;
    private readonly acceptedGenerations = new Map<string, number>();
    /** Monotonic time in milliseconds until which an earlier order may arrive, by intent key. */
    private readonly inFlightUntilMs = new Map<string, number>();

    /** @param options - The services, the lease and the receiver's traits. */
    constructor(private readonly options: OrderSenderOptions) {}

    /**
     * Reads the pool's intents. An earlier holder can no longer change them, because its transactions carry
     * the fence condition of its own acquisition.
     *
     * @returns The intents.
     * @throws PlatformError when the table service fails.
     */
    async loadIntents(): Promise<readonly OrderIntent[]> {
        const intents = await this.ensureIntents();
        return [...intents.values()].map(({ intent }) => intent);
    }

    /**
     * Stores a desired state and sends it to the platform.
     *
     * @param desired - The desired state.
     * @returns The result; failures are returned, not thrown.
     */
    async sendDesired(desired: DesiredServers): Promise<SendResult> {
        if (!this.isAllowed(desired)) {
            return { type: "notAllowed" };
        }
        try {
            const intent = await this.storeIntent(desired);
            return intent === undefined
                ? { type: "failed", reason: "another write changed the stored intent; it will be read again" }
                : await this.sendIntent(intent);
        } catch (error) {
            return { type: "failed", reason: String(error) };
        }
    }

    /**
     * Marks a desired state as not accepted, so that it is sent again after servers of it were lost.
     *
     * @param desired - The desired state.
     */
    clearAccepted(desired: Omit<DesiredServers, "count">): void {
        this.acceptedGenerations.delete(formatOrderKey(desired));
    }

    private isAllowed(desired: DesiredServers): boolean {
        const inFlightUntilMs = this.inFlightUntilMs.get(formatOrderKey(desired)) ?? Number.NEGATIVE_INFINITY;
        const { lease, receiver, clock } = this.options;
        return lease.isReadyFor(receiver) && clock.monotonicMs() >= inFlightUntilMs;
    }

    /** Returns undefined on a conflict; the intents are then read again before the next write. */
    private async storeIntent(desired: DesiredServers): Promise<OrderIntent | undefined> {
        const intents = await this.ensureIntents();
        const key = formatOrderKey(desired);
        const stored = intents.get(key);
        if (stored?.intent.count === desired.count) {
            return stored.intent;
        }
        const { pool, dataCentre, reclaimable, count, baseline } = desired;
        const generation = (stored?.intent.generation ?? 0) + 1;
        const intent: OrderIntent = {
            pool,
            dataCentre,
            reclaimable,
            count,
            generation,
            ...(baseline === undefined ? {} : { baseline }),
        };
        this.intents = undefined;
        const { tableService, lease } = this.options;
        const condition = { table: orderTable, key, version: stored?.version ?? 0 };
        const result = await this.runCall("order intent", () =>
            tableService.commitTransaction({
                conditions: [lease.buildCondition(), condition],
                writes: [{ table: orderTable, key, value: intent }],
            }),
        );
        if (result.outcome === "conflict") {
            return undefined;
        }
        intents.set(key, { version: result.version, intent });
        this.intents = intents;
        return intent;
    }

    private async sendIntent(intent: OrderIntent): Promise<SendResult> {
        const key = formatOrderKey(intent);
        if (this.acceptedGenerations.get(key) === intent.generation) {
            return { type: "unchanged" };
        }
        const { lease, node: sender, clock, receiver, marginMs, orderingService } = this.options;
        if (!this.isAllowed(intent)) {
            return { type: "notAllowed" };
        }
        const { pool, dataCentre, reclaimable, count, generation } = intent;
        const { fencingNumber } = lease;
        const order = { pool, dataCentre, reclaimable, count, generation, fencingNumber, sender };
        const sentMs = clock.monotonicMs();
        try {
            const isSendAllowed = (): boolean => lease.isReadyFor(receiver);
            const result = await orderingService.orderServers(order, receiver.wireBoundMs, isSendAllowed);
            return this.recordResult(intent, result);
        } catch (error) {
            if (isAmbiguous(error)) {
                this.inFlightUntilMs.set(key, sentMs + receiver.wireBoundMs + marginMs);
            }
            throw error;
        }
    }

    private recordResult(intent: OrderIntent, result: OrderResult): SendResult {
        switch (result.outcome) {
            case "accepted":
                this.acceptedGenerations.set(formatOrderKey(intent), intent.generation);
                return { type: "accepted" };
            case "noneAvailable":
                return { type: "noneAvailable", retryAfterMs: result.retryAfterMs };
            case "stale":
                // A newer holder has sent an order; the next scan of the leases shows that this lease is lost.
                return { type: "notAllowed" };
        }
    }

    private async ensureIntents(): Promise<Map<string, StoredIntent>> {
        if (this.intents === undefined) {
            const prefix = formatOrderPrefix(this.options.pool);
            const rows = await this.runCall("order scan", () =>
                this.options.tableService.scanRows(orderTable, { prefix }),
            );
            this.intents = new Map(
                rows.map(({ key, version, value }) => [
                    key,
                    { version, intent: orderIntentSchema.parse(value) },
                ]),
            );
        }
        return this.intents;
    }

    private runCall<Result>(callName: string, call: () => Promise<Result>): Promise<Result> {
        const { clock, callTimeoutMs: timeoutMs } = this.options;
        return runWithTimeout({ clock, timeoutMs, callName }, call);
    }
}
