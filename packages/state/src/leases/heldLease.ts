/**
 * A lease that this process holds.
 *
 * @packageDocumentation
 */
import type { EraSource, RowCondition } from "@pimentocleat/services";
import { computeFirstSendMs, computeValidUntilMs } from "@pimentocleat/policy";
import type { LeaseTiming, ReceiverTraits } from "@pimentocleat/policy";
import type { Clock } from "@pimentocleat/types";
import { buildFenceCondition } from "./leaseRecord.js";

/** The acquisition of a lease. */
export interface AcquiredLease {
    readonly name: string;
    readonly fencingNumber: number;
    /** Era of the table service in which the lease was acquired; 0 without eras. */
    readonly era: number;
    readonly fenceVersion: number;
    /** Version of the lease row. */
    readonly version: number;
    /** Token of the write. */
    readonly token: string;
    /** Time just before the write was sent, in milliseconds of the validity clock. */
    readonly sentMs: number;
    /**
     * Whether no order of an earlier holder can still be in flight: the lease had no earlier holder, or the holder
     * released it, which it does only after its last order must have arrived.
     */
    readonly isCleanHandover: boolean;
}

/** The view of a held lease that its users get. */
export interface LeaseHandle {
    readonly name: string;
    readonly fencingNumber: number;
    /** Era of the table service in which the lease was acquired; 0 without eras. */
    readonly era: number;
    /** Checks whether an order may be sent in the current tick of the event loop. */
    isValid(): boolean;
    /** Checks whether the first order to a receiver with these traits may be sent in the current tick. */
    isReadyFor(receiver: ReceiverTraits): boolean;
    /**
     * Checks whether the table service has started a new era while no other node can have held this lease: all orders
     * of the former era since its acquisition are this holder's.
     */
    isEraOver(): boolean;
    /** Builds the condition that makes a transaction of this holder fail after a takeover. */
    buildCondition(): RowCondition;
}

/** Tracks the validity of a lease from its acquisition until it is released or lost. */
export class HeldLease implements LeaseHandle {
    readonly name: string;
    readonly fencingNumber: number;
    readonly era: number;
    private readonly fenceVersion: number;
    private readonly acquiredMs: number;
    private readonly isCleanHandover: boolean;
    private version: number;
    private validUntilMs: number;
    private renewedMs: number;
    private ended = false;
    /** Time just before sending, by token, of each write whose token may be in the row. */
    private readonly sentTimes = new Map<string, number>();

    /**
     * @param acquired - The acquisition.
     * @param timing - Durations of the lease.
     * @param clock - The clock that measures the validity.
     * @param eras - The era of the table service; a lease of an earlier one is not valid.
     */
    constructor(
        acquired: AcquiredLease,
        private readonly timing: LeaseTiming,
        private readonly clock: Clock,
        private readonly eras: EraSource,
    ) {
        this.name = acquired.name;
        this.fencingNumber = acquired.fencingNumber;
        this.era = acquired.era;
        this.fenceVersion = acquired.fenceVersion;
        this.isCleanHandover = acquired.isCleanHandover;
        this.acquiredMs = clock.monotonicMs();
        this.version = acquired.version;
        this.renewedMs = acquired.sentMs;
        this.validUntilMs = computeValidUntilMs(acquired.sentMs, timing);
        this.sentTimes.set(acquired.token, acquired.sentMs);
    }

    isValid(): boolean {
        return this.isHeldInTime() && this.eras.getEra() === this.era;
    }

    isReadyFor(receiver: ReceiverTraits): boolean {
        const firstSendMs = this.isCleanHandover
            ? this.acquiredMs
            : computeFirstSendMs(this.acquiredMs, receiver, this.timing);
        return this.isValid() && this.clock.monotonicMs() >= firstSendMs;
    }

    isEraOver(): boolean {
        return this.isHeldInTime() && this.eras.getEra() > this.era;
    }

    buildCondition(): RowCondition {
        return buildFenceCondition(this.name, this.fenceVersion);
    }

    /** @returns The version of the lease row that the next renewal must find. */
    getVersion(): number {
        return this.version;
    }

    /** @returns Whether the next renewal should be sent. */
    isRenewalDue(): boolean {
        return !this.ended && this.clock.monotonicMs() - this.renewedMs >= this.timing.renewIntervalMs;
    }

    /**
     * Records a renewal that is about to be sent.
     *
     * @param token - The renewal's token.
     */
    startRenewal(token: string): void {
        this.sentTimes.set(token, this.clock.monotonicMs());
    }

    /**
     * Records the stored row. Ends the validity if another holder wrote the row.
     *
     * @param token - Token in the row.
     * @param version - Version of the row.
     * @returns Whether the token is one of this holder; if not, the lease is lost.
     */
    recordWrite(token: string, version: number): boolean {
        const sentMs = this.sentTimes.get(token);
        if (sentMs === undefined) {
            this.close();
            return false;
        }
        if (version !== this.version) {
            // The conditions of all other writes of this holder fail on the new version.
            this.sentTimes.clear();
            this.sentTimes.set(token, sentMs);
        }
        this.version = version;
        this.renewedMs = Math.max(this.renewedMs, sentMs);
        this.validUntilMs = Math.max(this.validUntilMs, computeValidUntilMs(sentMs, this.timing));
        return true;
    }

    /** Ends the validity immediately and permanently. */
    close(): void {
        this.ended = true;
    }

    private isHeldInTime(): boolean {
        return !this.ended && this.clock.monotonicMs() < this.validUntilMs;
    }
}
