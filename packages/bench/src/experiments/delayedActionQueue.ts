/**
 * Simulated network delays and timers of an experiment.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

interface DelayedAction {
    readonly dueMs: number;
    readonly run: () => void;
}

/** Runs actions after a delay, such as the delivery of a message or the end of a fault. */
export class DelayedActionQueue {
    private actions: DelayedAction[] = [];

    /** @param clock - Clock that decides which actions are due. */
    constructor(private readonly clock: Clock) {}

    /**
     * Schedules an action.
     *
     * @param delayMs - Time until the action is due, in milliseconds.
     * @param run - The action.
     */
    add(delayMs: number, run: () => void): void {
        this.actions.push({ dueMs: this.clock.monotonicMs() + delayMs, run });
    }

    /** Runs the actions that are due, in the order in which they were added. */
    runDue(): void {
        const nowMs = this.clock.monotonicMs();
        const due = this.actions.filter(({ dueMs }) => dueMs <= nowMs);
        this.actions = this.actions.filter(({ dueMs }) => dueMs > nowMs);
        due.forEach(({ run }) => run());
    }
}
