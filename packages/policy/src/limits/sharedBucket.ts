/**
 * A token bucket that several nodes share by telling each other what they took.
 *
 * @packageDocumentation
 */

/** Rate and depth of a bucket. */
export interface BucketSettings {
    readonly perSecond: number;
    readonly depth: number;
}

/**
 * Each node keeps the level of the whole and charges what the others report. Between two summaries
 * a node takes at most its part of the level, rounded up, so that n nodes together exceed the limit
 * by at most n - 1 units; the level then is in debt, and the long-run rate is exact.
 */
export class SharedBucket {
    private level: number;
    /** Own units since the last summary, which the other nodes don't know yet. */
    private unannouncedUnits = 0;

    /**
     * @param settings - Rate and depth.
     * @param updatedMs - Monotonic time of the start.
     */
    constructor(
        private settings: BucketSettings,
        private updatedMs: number,
    ) {
        this.level = settings.depth;
    }

    /** @param settings - Rate and depth from now on. */
    updateSettings(settings: BucketSettings): void {
        this.settings = settings;
    }

    /**
     * @param share - This node's part of what is left, 0 to 1; the parts of all nodes add up to 1.
     * @param nowMs - Monotonic time.
     * @returns Whether this node may take a unit now.
     */
    hasUnit(share: number, nowMs: number): boolean {
        this.updateLevel(nowMs);
        return (
            this.unannouncedUnits < Math.ceil((this.level + this.unannouncedUnits) * share) && this.level > 0
        );
    }

    /**
     * @param units - Units taken on this node; may put the level in debt.
     * @param nowMs - Monotonic time.
     */
    recordTaken(units: number, nowMs: number): void {
        this.updateLevel(nowMs);
        this.level -= units;
        this.unannouncedUnits += units;
    }

    /**
     * @param units - Units that another node took.
     * @param nowMs - Monotonic time.
     */
    recordPeerTaken(units: number, nowMs: number): void {
        this.updateLevel(nowMs);
        this.level -= units;
    }

    /** Notes that the other nodes learn of everything taken so far. */
    recordSummarized(): void {
        this.unannouncedUnits = 0;
    }

    /**
     * @param nowMs - Monotonic time.
     * @returns When a unit will be there, in milliseconds from now.
     */
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
