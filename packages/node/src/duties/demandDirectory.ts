/**
 * Demand for each pool over all nodes, computed from their soft state.
 *
 * @packageDocumentation
 */
import type { PoolSummary } from "@pimentocleat/policy";

/** Holds the last summary of each node and pool. */
export class DemandDirectory {
    private readonly summaries = new Map<string, Map<string, PoolSummary>>();

    /** @param summary - A pool summary of another node. */
    setSummary(summary: PoolSummary): void {
        const pools = this.summaries.get(summary.node) ?? new Map<string, PoolSummary>();
        this.summaries.set(summary.node, pools.set(summary.pool, summary));
    }

    /** @param node - The node to remove. */
    removeNode(node: string): void {
        this.summaries.delete(node);
    }

    /**
     * Counts the slots that a pool needs: one for each running and each waiting request.
     *
     * @param pool - The pool.
     * @param own - This node's own summaries.
     * @returns The number of slots over all known nodes.
     */
    countDemandSlots(pool: string, own: readonly PoolSummary[]): number {
        const others = [...this.summaries.values()].map((pools) => pools.get(pool));
        return [...others, own.find((summary) => summary.pool === pool)]
            .filter((summary) => summary !== undefined)
            .reduce((sum, summary) => sum + sumCounts(summary.running) + sumCounts(summary.waiting), 0);
    }
}

function sumCounts(counts: Readonly<Record<string, number>>): number {
    return Object.values(counts).reduce((sum, count) => sum + count, 0);
}
