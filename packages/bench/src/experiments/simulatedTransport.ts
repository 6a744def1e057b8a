/**
 * Simulated delivery of summaries between nodes, and of load reports and cache events from engines
 * to nodes.
 *
 * @packageDocumentation
 */
import type { CacheEvent, LoadReport, PoolScheduler, PoolSummary } from "@pimentocleat/policy";
import type { EngineModel } from "./engineModel.js";
import type { RunContext } from "./runContext.js";
import type { NodeState } from "./nodeState.js";

/** Step of the simulation; summaries are sent at a multiple of it. */
const stepMs = 10;
const summaryIntervalMs = 200;
const summaryDelayMs = 5;
const reportIntervalMs = 500;
const defaultReportLagMs = 300;
const cacheEventLagMs = 400;

/** Sends the summaries of nodes and the load reports and cache events of engines, each with its delay. */
export class SimulatedTransport {
    private readonly cacheSequences = new Map<string, number>();
    private readonly reportedCaches = new Map<string, Set<string>>();
    private sentSummaries = 0;

    /**
     * @param run - State of the run.
     * @param random - Random numbers from 0 to 1, for lost events.
     */
    constructor(
        private readonly run: RunContext,
        private readonly random: () => number,
    ) {}

    /** @returns Number of summaries that all nodes have sent so far. */
    countSummaries(): number {
        return this.sentSummaries;
    }

    /**
     * Sends the summaries, load reports and cache events that are due.
     *
     * @param nowMs - Monotonic time, in milliseconds.
     */
    sendDue(nowMs: number): void {
        this.run.nodes.forEach((node, index) => {
            const phaseMs = Math.floor((index * summaryIntervalMs) / this.run.nodes.length / stepMs) * stepMs;
            const isPeriodic = (nowMs + phaseMs) % summaryIntervalMs === 0;
            if (node.state === "live" && (isPeriodic || node.scheduler.isSummaryDue?.() === true)) {
                this.sentSummaries += 1;
                this.sendSummary(node, node.scheduler.summarizePool());
            }
        });
        if (nowMs % reportIntervalMs === 0) {
            for (const engine of this.run.engines.values()) {
                this.sendEngineState(engine);
            }
        }
    }

    private sendSummary(from: NodeState, summary: PoolSummary): void {
        this.run.delayedActions.add(summaryDelayMs, () => {
            for (const node of this.run.nodes) {
                if (node !== from && node.state === "live") {
                    node.scheduler.recordPeerSummary(summary);
                }
            }
        });
    }

    private sendEngineState(engine: EngineModel): void {
        if (engine.isDown) {
            return;
        }
        const lagMs = this.run.options.reportLagMs ?? defaultReportLagMs;
        const report: LoadReport = { ...engine.readLoad(), ageMs: lagMs };
        this.run.delayedActions.add(lagMs, () =>
            this.applyToLiveNodes((scheduler) => scheduler.recordLoadReport(report)),
        );
        const event = this.buildCacheEvent(engine);
        if (event !== undefined && this.random() >= (this.run.options.cacheEventLossShare ?? 0)) {
            this.run.delayedActions.add(cacheEventLagMs, () =>
                this.applyToLiveNodes((scheduler) => scheduler.recordCacheEvent(event)),
            );
        }
    }

    /** Evicts the blocks that exceed the size of the cache and reports what changed since the last event. */
    private buildCacheEvent(engine: EngineModel): CacheEvent | undefined {
        const server = engine.settings.name;
        const reported = this.reportedCaches.get(server) ?? new Set<string>();
        while (engine.cache.size > engine.settings.cacheBlocks) {
            const [oldest] = engine.cache;
            engine.cache.delete(oldest ?? "");
        }
        const stored = [...engine.cache].filter((block) => !reported.has(block));
        const removed = [...reported].filter((block) => !engine.cache.has(block));
        if (stored.length === 0 && removed.length === 0) {
            return undefined;
        }
        const sequence = (this.cacheSequences.get(server) ?? 0) + 1;
        this.cacheSequences.set(server, sequence);
        this.reportedCaches.set(server, new Set(engine.cache));
        return { server, sequence, stored, removed, cleared: false };
    }

    private applyToLiveNodes(apply: (scheduler: PoolScheduler) => void): void {
        this.run.nodes.filter(({ state }) => state === "live").forEach(({ scheduler }) => apply(scheduler));
    }
}
