/**
 * Bounds what all connections of callers hold of a node's memory together, whatever it is that they hold.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** What a connection holds bytes for. */
export type HeldKind =
    /** Received bytes that were not parsed yet. */
    | "unparsed"
    /** A head whose end has not come. */
    | "head"
    /** A body whose end has not come. */
    | "body"
    /** Requests that wait until earlier ones of the connection have ended. */
    | "waiting"
    /** Bytes of responses that the caller has not read. */
    | "unread"
    /** Bodies of requests that run. They are never a reason to give up the connection. */
    | "running";

/** Options of a {@link ConnectionLedger}. */
export interface ConnectionLedgerOptions {
    /** Number of bytes that all connections may hold together. */
    readonly maximumBytes: number;
    readonly clock: Clock;
}

/** Accounts of all connections. Beyond the bound, it gives up the connection that holds the most for the longest. */
export class ConnectionLedger {
    private readonly holders = new Set<ConnectionAccount>();
    private totalBytes = 0;

    /** @param options - The bound and the clock. */
    constructor(private readonly options: ConnectionLedgerOptions) {}

    /**
     * Opens the account of a connection.
     *
     * @param onAborted - Gives up what the connection holds, as far as no request runs with it.
     * @returns The account, which holds nothing yet.
     */
    openAccount(onAborted: () => void): ConnectionAccount {
        return new ConnectionAccount((account, change) => this.recordChange(account, change), onAborted);
    }

    /** @returns Number of bytes that all connections hold. */
    sumBytes(): number {
        return this.totalBytes;
    }

    private recordChange(account: ConnectionAccount, change: number): void {
        this.totalBytes += change;
        if (account.abortableBytes === 0) {
            this.holders.delete(account);
        } else if (!this.holders.has(account)) {
            account.heldSinceMs = this.options.clock.monotonicMs();
            this.holders.add(account);
        }
        while (change > 0 && this.totalBytes > this.options.maximumBytes && this.abortLargest()) {
            // Each step gives up one connection.
        }
    }

    /** Returns whether anything could be given up. */
    private abortLargest(): boolean {
        const nowMs = this.options.clock.monotonicMs();
        let largest: ConnectionAccount | undefined;
        let largestCost = -1;
        for (const account of this.holders) {
            const cost = account.computeCost(nowMs);
            if (cost > largestCost) {
                largest = account;
                largestCost = cost;
            }
        }
        largest?.abort();
        return largest !== undefined;
    }
}

/** What one connection holds. */
export class ConnectionAccount {
    /** Monotonic time since which it holds anything that can be given up, in milliseconds. */
    heldSinceMs = 0;
    private readonly bytesByKind: Record<HeldKind, number> = {
        unparsed: 0,
        head: 0,
        body: 0,
        waiting: 0,
        unread: 0,
        running: 0,
    };
    private totalAbortableBytes = 0;
    private isClosed = false;

    /**
     * @param recordChange - Receives each change of the number of bytes.
     * @param onAborted - Gives up what the connection holds.
     */
    constructor(
        private readonly recordChange: (account: ConnectionAccount, change: number) => void,
        private readonly onAborted: () => void,
    ) {}

    /** Number of bytes that are free again when the connection is given up. */
    get abortableBytes(): number {
        return this.totalAbortableBytes;
    }

    /**
     * Computes what the connection has cost its node: a slow caller holds little, a stalled one much for long.
     *
     * @param nowMs - Monotonic time, in milliseconds.
     * @returns Bytes times milliseconds.
     */
    computeCost(nowMs: number): number {
        return this.totalAbortableBytes * (nowMs - this.heldSinceMs + 1);
    }

    /**
     * Sets what the connection holds for one purpose. It may be given up meanwhile.
     *
     * @param kind - The purpose.
     * @param bytes - Number of bytes.
     */
    setBytes(kind: HeldKind, bytes: number): void {
        const change = bytes - this.bytesByKind[kind];
        if (this.isClosed || change === 0) {
            return;
        }
        this.bytesByKind[kind] = bytes;
        this.totalAbortableBytes += kind === "running" ? 0 : change;
        this.recordChange(this, change);
    }

    /**
     * Changes what the connection holds for one purpose. It may be given up meanwhile.
     *
     * @param kind - The purpose.
     * @param change - Number of bytes to add, negative ones to subtract.
     */
    addBytes(kind: HeldKind, change: number): void {
        this.setBytes(kind, this.bytesByKind[kind] + change);
    }

    /** Gives up the connection. */
    abort(): void {
        this.clearAbortable();
        this.onAborted();
    }

    /** Ends the account; later changes have no effect. */
    close(): void {
        this.clearAbortable();
        this.setBytes("running", 0);
        this.isClosed = true;
    }

    private clearAbortable(): void {
        for (const kind of ["unparsed", "head", "body", "waiting", "unread"] as const) {
            this.setBytes(kind, 0);
        }
    }
}
