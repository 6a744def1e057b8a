/**
 * Which nodes share a pool, as heard from their summaries.
 *
 * @packageDocumentation
 */

/** A silent node's slots are dealt to the others after this time, in milliseconds. */
export const maximumSilenceMs = 2_000;
/** A node that was silent for so long is forgotten, and the slots are dealt anew. */
const memberRetentionMs = 600_000;

/** Keeps the members of a pool. */
export class PoolMembers {
    private readonly heardMs = new Map<string, number>();
    private sorted: string[];

    /** @param self - This node. */
    constructor(private readonly self: string) {
        this.sorted = [self];
    }

    /**
     * @param node - A node that sent a summary.
     * @param nowMs - Monotonic time.
     * @returns Whether the dealing of slots may have changed.
     */
    recordContact(node: string, nowMs: number): boolean {
        const before = this.heardMs.get(node);
        this.heardMs.set(node, nowMs);
        if (before === undefined) {
            this.sorted = [this.self, ...this.heardMs.keys()].toSorted();
        }
        return before === undefined || nowMs - before > maximumSilenceMs;
    }

    /**
     * Marks a node as silent at once.
     *
     * @param node - A node that is gone.
     */
    setSilent(node: string): void {
        if (this.heardMs.has(node)) {
            this.heardMs.set(node, -Infinity);
        }
    }

    /** @returns All members, silent ones included, in the order that all nodes use. */
    list(): readonly string[] {
        return this.sorted;
    }

    /**
     * @param nowMs - Monotonic time.
     * @returns Members that can use slots. A node that hears less than half of the others can't tell
     * who is gone, so it counts all as live and takes nobody's slots.
     */
    listLive(nowMs: number): readonly string[] {
        const live = this.sorted.filter((node) => node === this.self || this.isInContact(node, nowMs));
        return live.length * 2 > this.sorted.length ? live : this.sorted;
    }

    /**
     * Forgets nodes that were silent for long.
     *
     * @param nowMs - Monotonic time.
     */
    compact(nowMs: number): void {
        for (const [node, heardMs] of this.heardMs) {
            if (Number.isFinite(heardMs) && nowMs - heardMs > memberRetentionMs) {
                this.heardMs.delete(node);
                this.sorted = this.sorted.filter((member) => member !== node);
            }
        }
    }

    private isInContact(node: string, nowMs: number): boolean {
        return nowMs - (this.heardMs.get(node) ?? -Infinity) <= maximumSilenceMs;
    }
}
