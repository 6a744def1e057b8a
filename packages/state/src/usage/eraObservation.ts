/**
 * Remembers when this node first knew of the current era of the table service.
 *
 * @packageDocumentation
 */
import { noStoreClock, type EraSource, type StoreClock } from "@pimentocleat/services";
import type { Clock } from "@pimentocleat/types";

/** An era, and a time by which it had begun. */
export interface ObservedEra {
    readonly era: number;
    /** Latest wall time at which this node may first have known of the era, in milliseconds since the Unix epoch. */
    readonly seenWallMs: number;
    /** Time of the table service's clock then or later, in milliseconds; undefined before it has named one. */
    readonly seenSteadyMs: number | undefined;
}

/** Observes the era; the more often it is updated, the closer the observed time is to the start of the era. */
export class EraObservation {
    private observed: ObservedEra | undefined;

    /**
     * @param eras - The era of the table service.
     * @param clocks - The clock of the usage windows and that of the host. After a suspension the first one may lag;
     * the later time leaves more windows out, which is safe.
     * @param storeClock - The clock of the table service.
     */
    constructor(
        private readonly eras: EraSource,
        private readonly clocks: readonly Pick<Clock, "wallMs">[],
        private readonly storeClock: StoreClock = noStoreClock,
    ) {}

    /** @returns The current era, and when an update first found it. */
    update(): ObservedEra {
        const era = this.eras.getEra();
        const isNew = this.observed?.era !== era;
        const seenWallMs = Math.max(...this.clocks.map((clock) => clock.wallMs()));
        const seenSteadyMs = this.storeClock.readSteadyMs();
        if (this.observed === undefined || isNew) {
            this.observed = { era, seenWallMs, seenSteadyMs };
        }
        this.observed = { ...this.observed, seenSteadyMs: this.observed.seenSteadyMs ?? seenSteadyMs };
        return this.observed;
    }
}
