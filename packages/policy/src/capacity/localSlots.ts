/**
 * Counts free slots without agreement between nodes, from a node's own count and the servers' reports.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { LoadReport } from "../scheduling/poolScheduler.js";
import { ReportedLoad } from "./reportedLoad.js";
import type { ServerSlots, SlotPolicy, SlotSummary } from "./slotPolicy.js";

interface ServerLoad {
    readonly slots: number;
    readonly load: ReportedLoad;
}

/**
 * Allows a start whenever the age-corrected load report shows a free slot. Exact for one node; serves as
 * a baseline for several.
 */
export class LocalSlots implements SlotPolicy {
    private servers = new Map<string, ServerLoad>();
    /** Servers considered until the next update; undefined for all. */
    private sample: ReadonlySet<string> | undefined;

    /**
     * @param clock - Source of time.
     * @param sampleSize - Servers considered in a round of decisions, such as 2 for power of two
     * choices; undefined for all.
     * @param random - Returns random numbers from 0 (inclusive) to 1 (exclusive), for the sample.
     */
    constructor(
        private readonly clock: Clock,
        private readonly sampleSize?: number,
        private readonly random?: () => number,
    ) {}

    updateServers(servers: readonly ServerSlots[]): void {
        const previous = this.servers;
        this.servers = new Map(
            servers.map(({ name, slots }) => [
                name,
                { slots, load: previous.get(name)?.load ?? new ReportedLoad() },
            ]),
        );
    }

    countFree(server: string): number {
        const state = this.servers.get(server);
        if (state === undefined || this.sample?.has(server) === false) {
            return 0;
        }
        return this.countUnused(state);
    }

    readCapacity(): number {
        let capacity = 0;
        for (const { slots } of this.servers.values()) {
            capacity += slots;
        }
        return capacity;
    }

    countNodes(): number {
        return 1;
    }

    recordStart(...[, server]: Parameters<SlotPolicy["recordStart"]>): void {
        this.servers.get(server)?.load.recordChange(1, this.clock.monotonicMs());
    }

    recordEnd(...[, server]: Parameters<SlotPolicy["recordEnd"]>): void {
        this.servers.get(server)?.load.recordChange(-1, this.clock.monotonicMs());
    }

    recordLoadReport(report: LoadReport): void {
        this.servers.get(report.server)?.load.recordReport(report, this.clock.monotonicMs());
    }

    recordPeerSummary(): void {}

    updateDemand(): void {
        if (this.sampleSize === undefined || this.random === undefined) {
            return;
        }
        const names = [...this.servers.keys()];
        const sample = new Set<string>();
        while (sample.size < Math.min(this.sampleSize, names.length)) {
            sample.add(names[Math.floor(this.random() * names.length)] ?? "");
        }
        this.sample = sample;
    }

    removePeer(): void {}

    summarizeSlots(): SlotSummary {
        return { lent: {}, lentTiers: {}, borrowed: {}, acknowledged: {} };
    }

    isSummaryDue(): boolean {
        return false;
    }

    private countUnused(state: ServerLoad): number {
        return Math.max(0, state.slots - state.load.estimateTotal(this.clock.monotonicMs()));
    }
}
