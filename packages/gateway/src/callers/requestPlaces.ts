/**
 * Bounds the requests of one connection that run at the same time. Callers may send many in a row.
 *
 * @packageDocumentation
 */
import type { ServerResponse } from "node:http";

/** Maximum number of requests of one connection that run at the same time. */
const maximumRunningRequests = 16;

/** Running requests of all connections of a node. */
export interface SharedRequests {
    /** Number of running requests from which on only one may run on a connection. */
    readonly maximumShared: number;
    /** Number of requests that run. */
    running: number;
}

/** The requests of one connection. */
export class RequestPlaces {
    private running = 0;
    private readonly waiting: (() => void)[] = [];
    private isClosed = false;

    /**
     * @param shared - The requests of all connections.
     * @param onChange - Called when a request starts to wait, starts to run or has ended.
     */
    constructor(
        private readonly shared: SharedRequests,
        private readonly onChange: () => void,
    ) {}

    /** Number of requests that run. */
    get runningCount(): number {
        return this.running;
    }

    /** Number of requests that wait for a place. */
    get waitingCount(): number {
        return this.waiting.length;
    }

    /**
     * Waits until a request may run, after earlier ones of the connection.
     *
     * @param response - The response to it, whose end makes place for another one.
     */
    async waitForPlace(response: ServerResponse): Promise<void> {
        if (!this.hasPlace() && !this.isClosed) {
            await new Promise<void>((resolve) => {
                this.waiting.push(resolve);
                this.onChange();
            });
        }
        if (!response.closed && !this.isClosed) {
            this.addRunning(1);
            response.once("close", () => this.addRunning(-1));
        }
    }

    /** Lets go on whatever waits, since the connection has closed. */
    close(): void {
        this.isClosed = true;
        this.waiting.splice(0).forEach((start) => start());
    }

    private hasPlace(): boolean {
        return (
            this.running === 0 ||
            (this.running < maximumRunningRequests && this.shared.running < this.shared.maximumShared)
        );
    }

    private addRunning(change: 1 | -1): void {
        this.running += change;
        this.shared.running += change;
        if (change < 0 && this.waiting.length > 0 && this.hasPlace()) {
            this.waiting.shift()?.();
        }
        this.onChange();
    }
}
