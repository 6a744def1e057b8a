/**
 * Summaries, load reports and cache events on their way between nodes and engines.
 *
 * @packageDocumentation
 */
import type { CacheEvent, LoadReport, PoolScheduler, PoolSummary } from "@pimentocleat/policy";
import type { EngineModel } from "./engineModel.js";
import type { RunContext } from "./runContext.js";
import type { NodeState } from "./nodeState.js";

const stepMs = 10;
const summaryIntervalMs = 200;
const summaryDelayMs = 5;
const reportIntervalMs = 500;
const defaultReportLagMs = 300;
const cacheEventLagMs = 400;

/** Spreads what nodes and engines tell. */
export class SimulatedTransport {
    private readonly cacheSequences = new Map<string, number>();
    private readonly reportedCaches = new Map<string, Set<string>>();
    private sentSummaries = 0;

    /**
     * @param run - The run.
     * @param random - Random numbers from 0 to 1, for lost events.
     */
    constructor(
        private readonly run: RunContext,
        private readonly random: () => number,
    ) {}

    /** @returns Summaries sent so far by all nodes. */
    countSummaries(): number {
        return this.sentSummaries;
    }

    /**
     * Sends what is due.
     *
     * @param nowMs - Monotonic time.
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
                this.applyToLiveNodes((node) => node.recordCacheEvent(event)),
            );
        }
    }

    private buildCacheEvent(engine: EngineModel): CacheEvent | undefined {
        const server = engine.settings.name;
        const known = this.reportedCaches.get(server) ?? new Set<string>();
        while (engine.cache.size > engine.settings.cacheBlocks) {
            const [oldest] = engine.cache;
            engine.cache.delete(oldest ?? "");
        }
        const stored = [...engine.cache].filter((block) => !known.has(block));
        const removed = [...known].filter((block) => !engine.cache.has(block));
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
