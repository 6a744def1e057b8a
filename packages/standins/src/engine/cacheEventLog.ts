/**
 * The engine's published events about its prefix cache: late and with gaps.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** A change of the prefix cache. */
export interface CacheEvent {
    /** Grows by one with each event. */
    readonly sequence: number;
    readonly kind: "stored" | "evicted";
    readonly blocks: readonly string[];
    /** Wall time, in milliseconds since the Unix epoch. */
    readonly atMs: number;
}

/** Answer of `GET /cache-events`. */
export interface CacheEventPage {
    readonly events: readonly CacheEvent[];
    /** Oldest event still kept; a reader that has not seen the one before has a gap. */
    readonly oldestSequence: number;
    /** Newest event that is visible. */
    readonly lastSequence: number;
}

interface RetainedEvent extends CacheEvent {
    readonly visibleAtMs: number;
}

/** Settings of the log. */
export interface CacheEventLogOptions {
    readonly capacity: number;
    readonly lagMs: number;
    readonly clock: Clock;
}

/** Keeps the newest events and shows them late. */
export class CacheEventLog {
    private events: RetainedEvent[] = [];
    private lastSequence = 0;

    /**
     * @param options - Settings.
     */
    constructor(private readonly options: CacheEventLogOptions) {}

    /**
     * Adds an event.
     *
     * @param kind - What happened.
     * @param blocks - The blocks' hashes.
     */
    addEvent(kind: CacheEvent["kind"], blocks: readonly string[]): void {
        const { capacity, lagMs, clock } = this.options;
        this.lastSequence += 1;
        const visibleAtMs = clock.monotonicMs() + lagMs;
        this.events.push({ sequence: this.lastSequence, kind, blocks, atMs: clock.wallMs(), visibleAtMs });
        if (this.events.length > capacity) {
            this.events.shift();
        }
    }

    /**
     * Reads events.
     *
     * @param after - The last event that the reader has seen.
     * @returns The visible events after it.
     */
    readEvents(after: number): CacheEventPage {
        const nowMs = this.options.clock.monotonicMs();
        const visible = this.events.filter((event) => event.visibleAtMs <= nowMs);
        const oldestSequence = this.events[0]?.sequence ?? this.lastSequence + 1;
        return {
            events: visible
                .filter((event) => event.sequence > after)
                .map(({ sequence, kind, blocks, atMs }) => ({ sequence, kind, blocks, atMs })),
            oldestSequence,
            lastSequence: visible.at(-1)?.sequence ?? oldestSequence - 1,
        };
    }
}
