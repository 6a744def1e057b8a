/**
 * Messages on their way in an experiment.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

interface Delivery {
    readonly dueMs: number;
    readonly deliver: () => void;
}

/** Delivers messages when they are due. */
export class DeliveryQueue {
    private deliveries: Delivery[] = [];

    /** @param clock - Source of time. */
    constructor(private readonly clock: Clock) {}

    /**
     * @param delayMs - Time until the delivery.
     * @param deliver - Delivers the message.
     */
    add(delayMs: number, deliver: () => void): void {
        this.deliveries.push({ dueMs: this.clock.monotonicMs() + delayMs, deliver });
    }

    /** Delivers what is due, in the order in which it was sent. */
    sendDue(): void {
        const nowMs = this.clock.monotonicMs();
        const due = this.deliveries.filter(({ dueMs }) => dueMs <= nowMs);
        this.deliveries = this.deliveries.filter(({ dueMs }) => dueMs > nowMs);
        due.forEach(({ deliver }) => deliver());
    }
}
