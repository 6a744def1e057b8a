/**
 * Ends a stream that makes no progress. Only complete events with data are progress: bytes of an event that is never
 * completed and comments are none. The time is the one after which callers give up on a stream anyway, so a slow stream
 * that still has a caller is never ended.
 *
 * @packageDocumentation
 */
import type { RouteRule } from "../configuration/gatewayConfiguration.js";

/** Shortest pause after which callers give up, in milliseconds. */
const minimumStallMs = 2_000;
/** Pause after which callers give up, as a multiple of the route's latency target. */
const targetFactor = 4;
/** Pause after which callers give up, as a multiple of the pause that the route allows between events. */
const pauseFactor = 8;

/**
 * Computes the time between two events after which callers give up on a stream.
 *
 * @param route - The route.
 * @returns The longest of the three times at which callers may give up, in milliseconds.
 */
export function computeStallMs({ targetMs, pauseTargetMs }: RouteRule): number {
    return Math.max(minimumStallMs, targetFactor * targetMs, pauseFactor * (pauseTargetMs ?? 0));
}

/** Measures the time since the last event of a stream, without the time in which the caller does not read. */
export class StreamProgress {
    private timer: NodeJS.Timeout | undefined;
    private hasEvent = false;

    /**
     * @param stallMs - Time without an event after which the stream is stalled, in milliseconds.
     * @param onStall - Called once when it is.
     */
    constructor(
        private readonly stallMs: number,
        private readonly onStall: () => void,
    ) {}

    /** Records an event with data; a stream can be stalled only after the first one. */
    recordEvent(): void {
        this.hasEvent = true;
        this.start();
    }

    /** Starts the time again, because the stream is read again. */
    start(): void {
        this.stop();
        if (this.hasEvent) {
            this.timer = setTimeout(this.onStall, this.stallMs);
        }
    }

    /** Stops the time, because the stream has ended or is not read. */
    stop(): void {
        clearTimeout(this.timer);
    }
}
