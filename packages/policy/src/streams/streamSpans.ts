/**
 * How long ago a stream of a service may have begun that a caller takes up, also after a new configuration has shortened
 * the timeouts under which running streams began.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** Keeps each span for as long as a stream that began under it may still be taken up. */
export class StreamSpans {
    private readonly current = new Map<string, number>();
    private readonly former = new Map<string, { readonly spanMs: number; readonly untilMs: number }[]>();

    /** @param clock - The node's clock. */
    constructor(private readonly clock: Clock) {}

    /**
     * Records the span of a service under the configuration that is now active.
     *
     * @param service - Name of the service.
     * @param spanMs - The longest time from the beginning of a stream to its last resumption, in milliseconds.
     */
    recordSpan(service: string, spanMs: number): void {
        const nowMs = this.clock.monotonicMs();
        const previousMs = this.current.get(service);
        const kept = (this.former.get(service) ?? []).filter(({ untilMs }) => untilMs >= nowMs);
        if (previousMs !== undefined && previousMs > spanMs && Number.isFinite(previousMs)) {
            kept.push({ spanMs: previousMs, untilMs: nowMs + previousMs });
        }
        this.former.set(service, kept);
        this.current.set(service, spanMs);
    }

    /**
     * Reads how long ago a stream of a service may have begun.
     *
     * @param service - Name of the service.
     * @returns The time, in milliseconds; infinite for a service without streams.
     */
    readSpanMs(service: string): number {
        const nowMs = this.clock.monotonicMs();
        const former = (this.former.get(service) ?? []).filter(({ untilMs }) => untilMs >= nowMs);
        const currentMs = this.current.get(service) ?? Number.POSITIVE_INFINITY;
        return Math.max(currentMs, ...former.map(({ spanMs }) => spanMs));
    }
}
