/**
 * Sends the orders of one holder of an ordering duty, for one pool.
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
    /** The lease under which this sender works; a new tenure needs a new sender. */
    readonly lease: LeaseHandle;
    readonly node: string;
    readonly pool: string;
    readonly receiver: ReceiverTraits;
    /** Wait beyond the wire bound after an order of unknown fate, in milliseconds. */
    readonly marginMs: number;
    readonly callTimeoutMs: number;
}

/** What became of a wanted state. */
export type SendResult =
    /** The platform had accepted it before, in this tenure. */
    | { readonly type: "unchanged" }
    | { readonly type: "accepted" }
    | { readonly type: "noneAvailable"; readonly retryAfterMs: number }
    /** The lease is not valid, or earlier orders may still be on the wire. */
    | { readonly type: "notAllowed" }
    /** The fate is unknown or the store did not answer; try again. */
    | { readonly type: "failed"; readonly reason: string };

interface StoredIntent {
    readonly version: number;
    readonly intent: OrderIntent;
}

/**
 * Writes the intent under the lease's fence, checks the lease in the tick of the send, and bounds the time
 * on the wire. Calls must not overlap.
 */
export class OrderSender {
    private intents: Map<string, StoredIntent> | undefined;
    private readonly acceptedGenerations = new Map<string, number>();
    /** Until when an earlier order of the same key may arrive; monotonic milliseconds. */
    private readonly onWireUntilMs = new Map<string, number>();

    /** @param options - The services, the lease and the receiver's traits. */
    constructor(private readonly options: OrderSenderOptions) {}

    /**
     * Reads the pool's intents. An earlier holder cannot change them any more, because its transactions
     * carry the fence of its own tenure.
     *
     * @returns The intents.
     * @throws PlatformError when the table service fails.
     */
    async loadIntents(): Promise<readonly OrderIntent[]> {
        const intents = await this.ensureIntents();
        return [...intents.values()].map(({ intent }) => intent);
    }

    /**
     * Makes a wanted state known to the platform.
     *
     * @param wanted - The wanted state.
     * @returns What became of it.
     */
    async sendDesired(wanted: DesiredServers): Promise<SendResult> {
        if (!this.isAllowed(wanted)) {
            return { type: "notAllowed" };
        }
        try {
            const intent = await this.storeIntent(wanted);
            return intent === undefined
                ? { type: "failed", reason: "the intent changed meanwhile" }
                : await this.sendIntent(intent);
        } catch (error) {
            return { type: "failed", reason: String(error) };
        }
    }

    /**
     * Sends a wanted state again although the platform accepted it before, because servers of it are gone.
     *
     * @param wanted - The wanted state.
     */
    clearAccepted(wanted: Omit<DesiredServers, "count">): void {
        this.acceptedGenerations.delete(formatOrderKey(wanted));
    }

    private isAllowed(wanted: DesiredServers): boolean {
        const onWireUntilMs = this.onWireUntilMs.get(formatOrderKey(wanted)) ?? Number.NEGATIVE_INFINITY;
        const { lease, receiver, clock } = this.options;
        return lease.isReadyFor(receiver) && clock.monotonicMs() >= onWireUntilMs;
    }

    /** Returns undefined when the intent could not be stored for certain; it is read again next time. */
    private async storeIntent(wanted: DesiredServers): Promise<OrderIntent | undefined> {
        const intents = await this.ensureIntents();
        const key = formatOrderKey(wanted);
        const stored = intents.get(key);
        if (stored?.intent.count === wanted.count) {
            return stored.intent;
        }
        const { pool, dataCentre, reclaimable, count } = wanted;
        const generation = (stored?.intent.generation ?? 0) + 1;
        const intent: OrderIntent = { pool, dataCentre, reclaimable, count, generation };
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
        const order = { ...intent, fencingNumber: lease.fencingNumber, sender };
        const sentMs = clock.monotonicMs();
        try {
            const isSendAllowed = (): boolean => lease.isReadyFor(receiver);
            const result = await orderingService.orderServers(order, receiver.wireBoundMs, isSendAllowed);
            return this.recordResult(intent, result);
        } catch (error) {
            if (isAmbiguous(error)) {
                this.onWireUntilMs.set(key, sentMs + receiver.wireBoundMs + marginMs);
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
                // A newer holder has ordered; this lease will be found lost.
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
