/**
 * A backend server that crashes when it gets too many requests a second soon after it has started.
 *
 * @packageDocumentation
 */

/** How a server behaves after it starts. */
export interface ColdBehaviour {
    /** Number of requests in any one second above which it crashes while it is cold. */
    readonly allowed: number;
    /** Time for which it is cold after it starts, in milliseconds. */
    readonly durationMs: number;
    /** Time until it starts again after a crash, in milliseconds. */
    readonly downMs: number;
}

const windowMs = 1_000;

/** Counts the requests of one server while it is cold. */
export class ColdStart {
    /** How often it has crashed on too many requests. */
    falls = 0;
    /** Highest number of requests in one second while it was cold. */
    most = 0;
    private receivedMs: number[] = [];
    private startMs = Number.NEGATIVE_INFINITY;

    /** @param behaviour - How the server behaves. */
    constructor(private readonly behaviour: ColdBehaviour) {}

    /** Lets the server go down and start again. */
    abort(): void {
        this.receivedMs = [];
        this.startMs = performance.now() + this.behaviour.downMs;
    }

    /** @returns Whether the server has crashed and not started again yet. */
    isDown(): boolean {
        return performance.now() < this.startMs;
    }

    /** Records a request, on which a cold server may crash. */
    recordRequest(): void {
        const nowMs = performance.now();
        if (this.isDown() || nowMs - this.startMs >= this.behaviour.durationMs) {
            return;
        }
        this.receivedMs = [...this.receivedMs.filter((atMs) => nowMs - atMs < windowMs), nowMs];
        this.most = Math.max(this.most, this.receivedMs.length);
        if (this.receivedMs.length > this.behaviour.allowed) {
            this.falls += 1;
            this.abort();
        }
    }
}
