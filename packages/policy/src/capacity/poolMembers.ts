/**
 * Tracks the nodes that share a pool, from the summaries that they send.
 *
 * @packageDocumentation
 */

/** Time without a summary after which a node's slots are distributed over the others, in milliseconds. */
export const maximumSilenceMs = 2_000;
/** Time without a summary after which a node is removed and the slots are redistributed, in milliseconds. */
const memberRetentionMs = 600_000;

/** Holds the members of a pool and the time of the last summary of each. */
export class PoolMembers {
    private readonly lastContactMs = new Map<string, number>();
    private sorted: string[];

    /** @param self - This node. */
    constructor(private readonly self: string) {
        this.sorted = [self];
    }

    /**
     * Records a summary from a node, which adds the node if it is new.
     *
     * @param node - A node that sent a summary.
     * @param nowMs - Monotonic time.
     * @returns Whether the distribution of slots may have changed.
     */
    recordContact(node: string, nowMs: number): boolean {
        const before = this.lastContactMs.get(node);
        this.lastContactMs.set(node, nowMs);
        if (before === undefined) {
            this.sorted = [this.self, ...this.lastContactMs.keys()].toSorted();
        }
        return before === undefined || nowMs - before > maximumSilenceMs;
    }

    /** Marks a node that was removed from the deployment as silent without waiting for the silence limit. */
    setSilent(node: string): void {
        if (this.lastContactMs.has(node)) {
            this.lastContactMs.set(node, -Infinity);
        }
    }

    /** @returns All members, silent ones included, in the order that all nodes use. */
    list(): readonly string[] {
        return this.sorted;
    }

    /**
     * Lists the members that can use slots.
     *
     * @param nowMs - Monotonic time.
     * @returns Members that can use slots. A node in contact with at most half of the members, itself
     * included, may be the isolated one, so it counts all as live and takes no slots of others.
     */
    listLive(nowMs: number): readonly string[] {
        const live = this.sorted.filter((node) => node === this.self || this.isInContact(node, nowMs));
        return live.length * 2 > this.sorted.length ? live : this.sorted;
    }

    /** Removes nodes that were silent for longer than the retention time. */
    compact(nowMs: number): void {
        for (const [node, contactMs] of this.lastContactMs) {
            if (Number.isFinite(contactMs) && nowMs - contactMs > memberRetentionMs) {
                this.lastContactMs.delete(node);
                this.sorted = this.sorted.filter((member) => member !== node);
            }
        }
    }

    private isInContact(node: string, nowMs: number): boolean {
        return nowMs - (this.lastContactMs.get(node) ?? -Infinity) <= maximumSilenceMs;
    }
}
