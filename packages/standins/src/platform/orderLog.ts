/**
 * Orders for backend servers that the platform stand-in received.
 *
 * @packageDocumentation
 */
import type { OrderResult, ServerOrder } from "@pimentocleat/services";
import type { Clock } from "@pimentocleat/types";

/** An order and what became of it. */
export interface ReceivedOrder {
    /** Order of arrival over all orders and usage reports, from 1. */
    readonly arrival: number;
    /** Wall time of arrival, in milliseconds since the Unix epoch. */
    readonly receivedAtMs: number;
    readonly order: ServerOrder;
    readonly result: OrderResult;
}

/** What the order book needs. */
export interface OrderLogOptions {
    /** Whether an order with an old fencing number is refused. */
    readonly checksFencing: boolean;
    readonly clock: Clock;
    /** Draws the next arrival number. */
    readonly takeArrivalNumber: () => number;
}

/** Keeps the wanted state by pool, data centre and kind of server. */
export class OrderLog {
    private readonly desired = new Map<string, ServerOrder>();
    private readonly received: ReceivedOrder[] = [];

    /**
     * @param options - Behaviour and sources of time and arrival numbers.
     */
    constructor(private readonly options: OrderLogOptions) {}

    /**
     * Receives an order.
     *
     * @param order - The order.
     * @param refusal - An answer to give in place of accepting it.
     * @returns What became of it.
     */
    handleOrder(order: ServerOrder, refusal?: OrderResult): OrderResult {
        const result = refusal ?? this.applyOrder(order);
        const arrival = this.options.takeArrivalNumber();
        this.received.push({ arrival, receivedAtMs: this.options.clock.wallMs(), order, result });
        return result;
    }

    /** @returns All orders, in the order of arrival. */
    listReceived(): readonly ReceivedOrder[] {
        return this.received;
    }

    /** @returns The wanted state in force. */
    listAccepted(): readonly ServerOrder[] {
        return [...this.desired.values()];
    }

    private applyOrder(order: ServerOrder): OrderResult {
        const key = JSON.stringify([order.pool, order.dataCentre, order.reclaimable]);
        const current = this.desired.get(key);
        if (current !== undefined && this.isStale(order, current)) {
            const { fencingNumber, generation } = current;
            return { outcome: "stale", fencingNumber, generation };
        }
        this.desired.set(key, order);
        return { outcome: "accepted" };
    }

    private isStale(order: ServerOrder, current: ServerOrder): boolean {
        if (!this.options.checksFencing) {
            return false;
        }
        return order.fencingNumber < current.fencingNumber || order.generation < current.generation;
    }
}
