/**
 * Which backend servers a node reaches over its own links, as far as its connections show. A node that is partitioned from
 * the servers sees the same as one whose servers have all crashed, so a failure raises the suspicion that the other
 * servers can't be reached either, until a connection to one of the same data centre has been opened.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** Where a server is. */
export interface ServerLocation {
    /** IP address and port. */
    readonly address: string;
    readonly dataCentre: string;
}

/**
 * Time after the last newly found failure for which servers of which nothing is known are taken for unreachable while
 * other data centres are reached, in milliseconds.
 */
const suspicionMs = 10_000;
/** Minimum time between two trials of a server, in milliseconds. */
const trialIntervalMs = 1_000;
/** Minimum time between two trials in a data centre, in milliseconds. */
const dataCentreTrialIntervalMs = 150;
/** Time after the last data of any server for which a node counts as reaching servers, in milliseconds. */
const inTouchMs = 1_000;
/** Maximum number of addresses that are remembered. */
const maximumAddresses = 4_000;

/** Tracks which servers this node reaches. */
export class ServerReach {
    /** Addresses to which the last connection could not be opened. */
    private readonly failed = new Set<string>();
    private readonly openedMs = new Map<string, number>();
    private readonly dataCentres = new Map<string, string>();
    private readonly trialMs = new Map<string, number>();
    private readonly dataCentreTrialMs = new Map<string, number>();
    /** Start of the last opening that failed at a server to which openings did not fail before. */
    private failureStartMs = Number.NEGATIVE_INFINITY;
    private lastHeardMs = Number.NEGATIVE_INFINITY;
    private lastOpenedMs = Number.NEGATIVE_INFINITY;

    /** @param clock - The node's clock. */
    constructor(private readonly clock: Clock) {}

    /** Records that bytes of any server arrived. */
    recordHeard(): void {
        this.lastHeardMs = this.clock.monotonicMs();
    }

    /**
     * Records that a connection was opened.
     *
     * @param address - IP address and port of the server.
     * @returns Whether openings failed there before.
     */
    recordOpened(address: string): boolean {
        this.recordHeard();
        this.lastOpenedMs = this.clock.monotonicMs();
        const dataCentre = this.dataCentres.get(address);
        if (dataCentre !== undefined) {
            this.openedMs.set(dataCentre, this.clock.monotonicMs());
        }
        return this.failed.delete(address);
    }

    /**
     * Records that a connection could not be opened.
     *
     * @param address - IP address and port of the server.
     * @param startedMs - Monotonic time at which the opening began at the earliest, in milliseconds.
     * @returns Whether this was not known.
     */
    recordOpenFailed(address: string, startedMs: number): boolean {
        if (this.failed.has(address)) {
            return false;
        }
        this.failed.add(address);
        this.failureStartMs = Math.max(this.failureStartMs, startedMs);
        return true;
    }

    /**
     * Checks whether a connection to a server is expected to open.
     *
     * @param server - The server.
     * @returns Whether it is.
     */
    isReachable(server: ServerLocation): boolean {
        this.storeLocation(server);
        return !this.failed.has(server.address) && !this.isSuspect(server.dataCentre);
    }

    /** @returns Whether this node reaches any server, as far as it knows. */
    isInTouch(): boolean {
        return (
            !this.isSuspicionCurrent() ||
            this.lastHeardMs > this.failureStartMs ||
            this.clock.monotonicMs() - this.lastHeardMs < inTouchMs
        );
    }

    /**
     * Checks whether bytes of any server arrived lately.
     *
     * @param sinceMs - Monotonic time from which on they count, in milliseconds.
     * @returns Whether they did.
     */
    hasHeardSince(sinceMs: number): boolean {
        return this.lastHeardMs >= sinceMs;
    }

    /**
     * Checks whether a connection to any server was opened lately.
     *
     * @param sinceMs - Monotonic time from which on it counts, in milliseconds.
     * @returns Whether one was.
     */
    hasOpenedSince(sinceMs: number): boolean {
        return this.lastOpenedMs >= sinceMs;
    }

    /**
     * Decides whether a connection is to be opened now to learn whether a server can be reached.
     *
     * @param server - The server.
     * @returns Whether it is; the trial is then recorded.
     */
    tryTrial(server: ServerLocation): boolean {
        const nowMs = this.clock.monotonicMs();
        const { address, dataCentre } = server;
        const isDue =
            nowMs - (this.trialMs.get(address) ?? Number.NEGATIVE_INFINITY) >= trialIntervalMs &&
            nowMs - (this.dataCentreTrialMs.get(dataCentre) ?? Number.NEGATIVE_INFINITY) >=
                dataCentreTrialIntervalMs;
        if (isDue) {
            this.storeLocation(server);
            this.trialMs.set(address, nowMs);
            this.dataCentreTrialMs.set(dataCentre, nowMs);
        }
        return isDue;
    }

    private isSuspect(dataCentre: string): boolean {
        return (
            this.isSuspicionCurrent() &&
            this.failureStartMs > (this.openedMs.get(dataCentre) ?? Number.NEGATIVE_INFINITY)
        );
    }

    /** A suspicion lasts as long as no server is heard of: each request for one opens a connection that would end it. */
    private isSuspicionCurrent(): boolean {
        return (
            this.clock.monotonicMs() - this.failureStartMs < suspicionMs ||
            this.lastHeardMs < this.failureStartMs
        );
    }

    private storeLocation({ address, dataCentre }: ServerLocation): void {
        if (this.dataCentres.get(address) === dataCentre) {
            return;
        }
        this.dataCentres.set(address, dataCentre);
        const [oldest] = this.dataCentres.keys();
        if (this.dataCentres.size > maximumAddresses && oldest !== undefined) {
            this.dataCentres.delete(oldest);
            this.failed.delete(oldest);
            this.trialMs.delete(oldest);
        }
    }
}
