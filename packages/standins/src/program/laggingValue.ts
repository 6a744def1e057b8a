/**
 * A value whose changes become visible to readers after a delay.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** Number of kept versions above which a change removes the outdated ones. */
const compactionThreshold = 1_024;

/** A value and the time at which it was current. */
export interface TimestampedValue<Value> {
    /** Wall time at which the value was current, in milliseconds since the Unix epoch. */
    readonly measuredAtMs: number;
    readonly value: Value;
}

interface Version<Value> {
    readonly value: Value;
    /** Monotonic time from which readers see the version, in milliseconds. */
    readonly visibleAtMs: number;
}

/** Holds the visible version of a value and the later versions that aren't visible yet. */
export class LaggingValue<Value> {
    private versions: Version<Value>[];

    /**
     * @param initial - First value, which is visible immediately.
     * @param lagMs - Delay until a change is visible, in milliseconds.
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
     * Sets a new value, which becomes visible after the delay.
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

    /** @returns The visible value, dated one delay before the current time. */
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
