/**
 * A value whose readers see changes late.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

const compactionThreshold = 1_024;

/** A value as it was at some time. */
export interface TimestampedValue<Value> {
    /** Wall time at which the value was true, in milliseconds since the Unix epoch. */
    readonly measuredAtMs: number;
    readonly value: Value;
}

interface Version<Value> {
    readonly value: Value;
    readonly visibleAtMs: number;
}

/** Keeps versions of a value until they are visible. */
export class LaggingValue<Value> {
    private versions: Version<Value>[];

    /**
     * @param initial - The first value; visible at once.
     * @param lagMs - How late a change shows, in milliseconds.
     * @param clock - Source of time.
     */
    constructor(
        initial: Value,
        private readonly lagMs: number,
        private readonly clock: Clock,
    ) {
        this.versions = [{ value: initial, visibleAtMs: -Infinity }];
    }

    /**
     * Changes the value.
     *
     * @param value - The new value.
     */
    setValue(value: Value): void {
        const visibleAtMs = this.clock.monotonicMs() + this.lagMs;
        this.versions.push({ value, visibleAtMs });
        if (this.versions.length > compactionThreshold) {
            this.compact();
        }
    }

    /** @returns The value as it was before the lag. */
    readValue(): TimestampedValue<Value> {
        this.compact();
        const { value } = this.versions[0] as Version<Value>;
        return { value, measuredAtMs: this.clock.wallMs() - this.lagMs };
    }

    private compact(): void {
        const nowMs = this.clock.monotonicMs();
        const current = this.versions.findLastIndex((version) => version.visibleAtMs <= nowMs);
        this.versions = this.versions.slice(Math.max(0, current));
    }
}
