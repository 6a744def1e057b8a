/**
 * Records the orders for backend servers that the platform stand-in receives.
 *
 * @packageDocumentation
 */
import type { OrderResult, ServerOrder } from "@pimentocleat/services";
import type { Clock } from "@pimentocleat/types";

/** An order and its result. */
export interface ReceivedOrder {
    /** Sequence number of arrival, shared by orders and usage reports, starting at 1. */
    readonly arrival: number;
    /** Wall time of arrival, in milliseconds since the Unix epoch. */
    readonly receivedAtMs: number;
    readonly order: ServerOrder;
    readonly result: OrderResult;
}

/** Options of an {@link OrderLog}. */
export interface OrderLogOptions {
    /** Whether orders with an old fencing number or generation are refused. */
    readonly checksFencing: boolean;
    readonly clock: Clock;
    /** Returns the next arrival number, shared with the usage reports. */
    readonly takeArrivalNumber: () => number;
}

/**
 * Records every order and keeps the last accepted one for each pool, data centre and kind of server (reclaimable
 * or standard).
 */
export class OrderLog {
    private readonly desiredOrders = new Map<string, ServerOrder>();
    private readonly received: ReceivedOrder[] = [];

    /**
     * @param options - Fencing check, clock and source of arrival numbers.
     */
    constructor(private readonly options: OrderLogOptions) {}

    /**
     * Records an order and applies it unless it is refused or stale.
     *
     * @param order - The order.
     * @param refusal - Result to return instead of applying the order.
     * @returns The result of the order.
     */
    handleOrder(order: ServerOrder, refusal?: OrderResult): OrderResult {
        const result = refusal ?? this.applyOrder(order);
        const arrival = this.options.takeArrivalNumber();
        this.received.push({ arrival, receivedAtMs: this.options.clock.wallMs(), order, result });
        return result;
    }

    /** @returns All received orders, in the order of arrival. */
    listReceived(): readonly ReceivedOrder[] {
        return this.received;
    }

    /** @returns The accepted orders that make up the current desired state. */
    listAccepted(): readonly ServerOrder[] {
        return [...this.desiredOrders.values()];
    }

    private applyOrder(order: ServerOrder): OrderResult {
        const key = JSON.stringify([order.pool, order.dataCentre, order.reclaimable]);
        const current = this.desiredOrders.get(key);
        if (current !== undefined && this.isStale(order, current)) {
            const { fencingNumber, generation } = current;
            return { outcome: "stale", fencingNumber, generation };
        }
        this.desiredOrders.set(key, order);
        return { outcome: "accepted" };
    }

    private isStale(order: ServerOrder, current: ServerOrder): boolean {
        if (!this.options.checksFencing) {
            return false;
        }
        return order.fencingNumber < current.fencingNumber || order.generation < current.generation;
    }
}
