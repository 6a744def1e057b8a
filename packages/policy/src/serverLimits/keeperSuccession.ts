/**
 * Which of the nodes that may keep a server's permits or places grants them: the first one, and the next ones in their
 * order while those before them are silent.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** Time without a message of a keeper after which the next one takes over, in milliseconds. */
const takeoverMs = 2_000;

/** Decides for this node, from the messages of the others. */
export class KeeperSuccession {
    private readonly heardMs = new Map<string, number>();

    /**
     * @param name - Name of this node.
     * @param clock - The node's clock.
     */
    constructor(
        private readonly name: string,
        private readonly clock: Clock,
    ) {}

    /**
     * Records a message of another node that shows that it can grant.
     *
     * @param name - Name of the node.
     */
    recordHeard(name: string): void {
        this.heardMs.set(name, this.clock.monotonicMs());
    }

    /** @returns Names of the nodes whose messages arrived lately. */
    listHeard(): readonly string[] {
        const sinceMs = this.clock.monotonicMs() - takeoverMs;
        return [...this.heardMs].filter(([, atMs]) => atMs > sinceMs).map(([name]) => name);
    }

    /**
     * Checks whether this node grants.
     *
     * @param keepers - Names of the nodes that may grant, the most preferred first.
     * @param sinceMs - Monotonic time since which this node counts the silence of the others, in milliseconds.
     * @returns Whether it grants.
     */
    isGranting(keepers: readonly string[], sinceMs: number): boolean {
        const rank = keepers.indexOf(this.name);
        const nowMs = this.clock.monotonicMs();
        const isSilent = (name: string): boolean =>
            nowMs - Math.max(sinceMs, this.heardMs.get(name) ?? sinceMs) >= takeoverMs;
        return rank >= 0 && keepers.slice(0, rank).every(isSilent);
    }
}
