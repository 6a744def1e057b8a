/**
 * Implements a token bucket that several nodes share by announcing to each other the units that they took.
 *
 * @packageDocumentation
 */

/** Rate and depth of a bucket. */
export interface BucketSettings {
    /** Units added per second. */
    readonly perSecond: number;
    /** Maximum level, in units. */
    readonly depth: number;
}

/**
 * Keeps one node's copy of the shared level and charges it with the units that other nodes report. Between
 * two summaries a node takes at most its share of the level, rounded up, so that n nodes together exceed
 * the limit by at most n - 1 units. The level then becomes negative, which keeps the long-run rate exact.
 */
export class SharedBucket {
    private level: number;
    /** Units taken on this node since the last summary. */
    private unannouncedUnits = 0;

    /**
     * @param settings - Rate and depth.
     * @param updatedMs - Monotonic time at which the bucket starts, full.
     */
    constructor(
        private settings: BucketSettings,
        private updatedMs: number,
    ) {
        this.level = settings.depth;
    }

    /** Changes the rate and depth; the level is kept. */
    updateSettings(settings: BucketSettings): void {
        this.settings = settings;
    }

    /**
     * Checks whether this node may take a unit now.
     *
     * @param share - This node's share of the level, 0 to 1; the shares of all nodes add up to 1.
     * @param nowMs - Monotonic time.
     * @returns Whether the level and this node's share of it allow a unit.
     */
    hasUnit(share: number, nowMs: number): boolean {
        this.updateLevel(nowMs);
        return (
            this.unannouncedUnits < Math.ceil((this.level + this.unannouncedUnits) * share) && this.level > 0
        );
    }

    /** Charges units taken on this node; the level may become negative. */
    recordTaken(units: number, nowMs: number): void {
        this.updateLevel(nowMs);
        this.level -= units;
        this.unannouncedUnits += units;
    }

    /** Charges units taken on another node. */
    recordPeerTaken(units: number, nowMs: number): void {
        this.updateLevel(nowMs);
        this.level -= units;
    }

    /** Records that all units taken so far are announced to the other nodes. */
    recordSummarized(): void {
        this.unannouncedUnits = 0;
    }

    /** Computes the time until the bucket holds a unit, in milliseconds from now. */
    readWaitMs(nowMs: number): number {
        this.updateLevel(nowMs);
        return Math.max(0, ((1 - this.level) / this.settings.perSecond) * 1_000);
    }

    private updateLevel(nowMs: number): void {
        const gain = ((nowMs - this.updatedMs) * this.settings.perSecond) / 1_000;
        this.level = Math.min(this.settings.depth, this.level + gain);
        this.updatedMs = nowMs;
    }
}
