/**
 * The room of a backend server that fails when it has to reject too many requests in a second.
 *
 * @packageDocumentation
 */

import type { ServerResponse } from "node:http";

/** How a brittle server behaves. */
export interface Brittleness {
    /** Rejections in a second that it bears, as its responses name it. */
    readonly allowed: number;
    /** Requests that it runs at once; none waits. */
    readonly slots: number;
    /** Time that it takes for a request, in milliseconds. */
    readonly workMs: number;
    /** Time until it is back after it has failed, in milliseconds. */
    readonly downMs: number;
}

const windowMs = 1_000;

/** Counts the requests and rejections of one server. */
export class BrittleSlots {
    falls = 0;
    rejected = 0;
    private running = 0;
    private rejectedMs: number[] = [];
    private downUntilMs = 0;

    /** @param brittleness - How the server behaves. */
    constructor(readonly brittleness: Brittleness) {}

    /** @returns Whether the server has failed and is not back yet. */
    isDown(): boolean {
        return performance.now() < this.downUntilMs;
    }

    /**
     * Takes a slot.
     *
     * @param response - The response; a server drops the work when its connection is closed.
     * @param onFree - Called when the work is done; not called when the server fails before.
     * @returns Whether there was one.
     */
    tryTake(response: ServerResponse, onFree: () => void): boolean {
        if (this.running >= this.brittleness.slots) {
            this.recordRejection();
            return false;
        }
        this.running += 1;
        const { falls } = this;
        const finish = (): boolean => {
            clearTimeout(timer);
            response.off("close", finish);
            this.running -= falls === this.falls ? 1 : 0;
            return falls === this.falls;
        };
        const timer = setTimeout(() => {
            if (finish()) {
                onFree();
            }
        }, this.brittleness.workMs);
        response.once("close", finish);
        return true;
    }

    private recordRejection(): void {
        const nowMs = performance.now();
        this.rejected += 1;
        this.rejectedMs = [...this.rejectedMs.filter((atMs) => nowMs - atMs < windowMs), nowMs];
        if (this.rejectedMs.length > this.brittleness.allowed) {
            this.falls += 1;
            this.running = 0;
            this.rejectedMs = [];
            this.downUntilMs = nowMs + this.brittleness.downMs;
        }
    }
}
