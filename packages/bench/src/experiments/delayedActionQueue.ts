/**
 * Messages on their way in an experiment.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

interface DelayedAction {
    readonly dueMs: number;
    readonly run: () => void;
}

/** Delivers messages when they are due. */
export class DelayedActionQueue {
    private actions: DelayedAction[] = [];

    /** @param clock - Source of time. */
    constructor(private readonly clock: Clock) {}

    /**
     * @param delayMs - Time until the delivery.
     * @param deliver - Delivers the message.
     */
    add(delayMs: number, deliver: () => void): void {
        this.actions.push({ dueMs: this.clock.monotonicMs() + delayMs, run: deliver });
    }

    /** Delivers what is due, in the order in which it was sent. */
    runDue(): void {
        const nowMs = this.clock.monotonicMs();
        const due = this.actions.filter(({ dueMs }) => dueMs <= nowMs);
        this.actions = this.actions.filter(({ dueMs }) => dueMs > nowMs);
        due.forEach(({ run: deliver }) => deliver());
    }
}
