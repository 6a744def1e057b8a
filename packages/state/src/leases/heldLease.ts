/**
 * A lease that this process holds.
 *
 * @packageDocumentation
 */
import type { RowCondition } from "@pimentocleat/services";
import { computeFirstSendMs, computeValidUntilMs } from "@pimentocleat/policy";
import type { LeaseTiming, ReceiverTraits } from "@pimentocleat/policy";
import type { Clock } from "@pimentocleat/types";
import { buildFenceCondition } from "./leaseRecord.js";

/** How a lease was acquired. */
export interface AcquiredLease {
    readonly name: string;
    readonly fencingNumber: number;
    readonly fenceVersion: number;
    /** Version of the lease's row. */
    readonly version: number;
    /** Token of the write, and the time before it was sent. */
    readonly token: string;
    readonly sentMs: number;
    /**
     * Whether no order of an earlier holder can still be on its way: there was none, or it gave the lease up, which
     * it does only once its last order must have arrived.
     */
    readonly isCleanHandover: boolean;
}

/** What the users of a lease see of it. */
export interface LeaseHandle {
    readonly name: string;
    readonly fencingNumber: number;
    /** Tells whether an order may be sent in this very tick. */
    isValid(): boolean;
    /** Tells whether the first order to such a receiver may be sent in this very tick. */
    isReadyFor(receiver: ReceiverTraits): boolean;
    /** Builds the condition under which a transaction of this holder may commit. */
    buildCondition(): RowCondition;
}

/** A lease held, from its acquisition to its loss. */
export class HeldLease implements LeaseHandle {
    readonly name: string;
    readonly fencingNumber: number;
    private readonly fenceVersion: number;
    private readonly acquiredMs: number;
    private readonly isCleanHandover: boolean;
    private version: number;
    private validUntilMs: number;
    private renewedMs: number;
    private ended = false;
    /** Time before the send, by token, of the writes that may be in the row. */
    private readonly sentTimes = new Map<string, number>();

    /**
     * @param acquired - How it was acquired.
     * @param timing - The lease's durations.
     * @param clock - The host's clock.
     */
    constructor(
        acquired: AcquiredLease,
        private readonly timing: LeaseTiming,
        private readonly clock: Clock,
    ) {
        this.name = acquired.name;
        this.fencingNumber = acquired.fencingNumber;
        this.fenceVersion = acquired.fenceVersion;
        this.isCleanHandover = acquired.isCleanHandover;
        this.acquiredMs = clock.monotonicMs();
        this.version = acquired.version;
        this.renewedMs = acquired.sentMs;
        this.validUntilMs = computeValidUntilMs(acquired.sentMs, timing);
        this.sentTimes.set(acquired.token, acquired.sentMs);
    }

    isValid(): boolean {
        return !this.ended && this.clock.monotonicMs() < this.validUntilMs;
    }

    isReadyFor(receiver: ReceiverTraits): boolean {
        const firstSendMs = this.isCleanHandover
            ? this.acquiredMs
            : computeFirstSendMs(this.acquiredMs, receiver, this.timing);
        return this.isValid() && this.clock.monotonicMs() >= firstSendMs;
    }

    buildCondition(): RowCondition {
        return buildFenceCondition(this.name, this.fenceVersion);
    }

    /** @returns Version of the lease's row, for the next renewal. */
    getVersion(): number {
        return this.version;
    }

    /** @returns Whether the next renewal should be sent. */
    isRenewalDue(): boolean {
        return !this.ended && this.clock.monotonicMs() - this.renewedMs >= this.timing.renewIntervalMs;
    }

    /**
     * Notes a renewal that is about to be sent.
     *
     * @param token - The renewal's token.
     */
    startRenewal(token: string): void {
        this.sentTimes.set(token, this.clock.monotonicMs());
    }

    /**
     * Notes the row as stored.
     *
     * @param token - Token in the row.
     * @param version - The row's version.
     * @returns False if the token is not of this holder; the lease is then lost.
     */
    recordWrite(token: string, version: number): boolean {
        const sentMs = this.sentTimes.get(token);
        if (sentMs === undefined) {
            this.close();
            return false;
        }
        if (version !== this.version) {
            // The new version breaks the conditions of all other writes of this holder.
            this.sentTimes.clear();
            this.sentTimes.set(token, sentMs);
        }
        this.version = version;
        this.renewedMs = Math.max(this.renewedMs, sentMs);
        this.validUntilMs = Math.max(this.validUntilMs, computeValidUntilMs(sentMs, this.timing));
        return true;
    }

    /** Ends the validity at once and for ever. */
    close(): void {
        this.ended = true;
    }
}
