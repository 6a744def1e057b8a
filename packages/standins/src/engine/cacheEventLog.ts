/**
 * Log of the prefix cache's changes, which readers see with a delay and possibly with gaps.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** A change of the prefix cache. */
export interface CacheEvent {
    /** Sequence number, which increases by one with each event. */
    readonly sequence: number;
    readonly kind: "stored" | "evicted";
    readonly blocks: readonly string[];
    /** Wall time of the change, in milliseconds since the Unix epoch. */
    readonly atMs: number;
}

/** Response of `GET /cache-events`. */
export interface CacheEventPage {
    readonly events: readonly CacheEvent[];
    /** Sequence number of the oldest event kept; a reader that hasn't seen the event before it has a gap. */
    readonly oldestSequence: number;
    /** Sequence number of the newest visible event. */
    readonly lastSequence: number;
}

interface RetainedEvent extends CacheEvent {
    readonly visibleAtMs: number;
}

/** Settings of {@link CacheEventLog}. */
export interface CacheEventLogOptions {
    /** Maximum number of events kept. */
    readonly capacity: number;
    /** Delay until an event is visible, in milliseconds. */
    readonly lagMs: number;
    readonly clock: Clock;
}

/** Keeps the newest events and makes them visible after a delay. */
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
     * @param kind - Whether the blocks were stored or evicted.
     * @param blocks - Block hashes.
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
     * Reads the visible events after a given one.
     *
     * @param after - Sequence number of the last event that the reader has seen.
     * @returns The events and the range of sequence numbers available.
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
