/**
 * Remembers when this node first knew of the current era of the table service.
 *
 * @packageDocumentation
 */
import type { EraSource } from "@pimentocleat/services";
import type { Clock } from "@pimentocleat/types";

/** An era, and a time by which it had begun. */
export interface ObservedEra {
    readonly era: number;
    /** Wall time at which this node first knew of the era, in milliseconds since the Unix epoch. */
    readonly seenWallMs: number;
}

/** Observes the era; the more often it is updated, the closer the observed time is to the start of the era. */
export class EraObservation {
    private observed: ObservedEra | undefined;

    /**
     * @param eras - The era of the table service.
     * @param clock - The clock of the usage windows.
     */
    constructor(
        private readonly eras: EraSource,
        private readonly clock: Clock,
    ) {}

    /** @returns The current era, and when an update first found it. */
    update(): ObservedEra {
        const era = this.eras.getEra();
        if (this.observed?.era !== era) {
            this.observed = { era, seenWallMs: this.clock.wallMs() };
        }
        return this.observed;
    }
}
