/**
 * Options of a node's duties.
 *
 * @packageDocumentation
 */
import type { HostList, OrderingService, TableService, UsageReportService } from "@pimentocleat/services";
import type { LeaseTiming, PoolSummary } from "@pimentocleat/policy";
import type { Pool } from "@pimentocleat/schema";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { PeerUsageCopy } from "../peers/peerHandlers.js";
import type { NodeIncarnation } from "./incarnation.js";

/** Durations of the duties, in milliseconds. */
export interface DutySettings {
    readonly leaseTiming: LeaseTiming;
    /** Timeout of one call to the table service. */
    readonly callTimeoutMs: number;
    /** Maximum time that an order or a report is in flight. */
    readonly wireBoundMs: number;
    readonly orderIntervalMs: number;
    readonly usageWindowMs: number;
    /** Delay between the end of a usage window and its sealing. */
    readonly usageGraceMs: number;
    /** Interval between writes of usage to the table service. */
    readonly usageFlushIntervalMs: number;
    /** Interval between copies of usage to a peer. */
    readonly usageCopyIntervalMs: number;
    readonly usageRetentionMs: number;
    readonly claimRetentionMs: number;
    readonly claimCleaningIntervalMs: number;
    /** Maximum time that a stop spends on writing usage. */
    readonly flushTimeoutMs: number;
}

/** Options of a node's duties. */
export interface DutyOptions {
    readonly name: string;
    /** Incarnation under which the peers know this node; higher after each restart. */
    readonly incarnation: number;
    readonly tableService: TableService;
    /** Orders backend servers; none are ordered when absent. */
    readonly orderingService?: OrderingService;
    /** Accepts usage reports; usage is kept in the table service but not reported when absent. */
    readonly reportService?: UsageReportService;
    readonly clock: WaitingClock;
    readonly random: () => number;
    readonly logger: Logger;
    /** Lists the nodes known to be present, without this one. */
    readonly listMembers: () => readonly NodeIncarnation[];
    /** Copies usage to a peer; returns whether a peer stored it. */
    readonly copyUsage: (copy: PeerUsageCopy) => Promise<boolean>;
    /** Lists the pools of the active configuration; empty before there is one. */
    readonly listPools: () => readonly Pool[];
    /** Lists this node's own summaries. */
    readonly listSummaries: () => readonly PoolSummary[];
    /** Lists hosts and their state, which shows the reclaimable servers that are under notice. */
    readonly hostList: HostList;
    readonly settings?: Partial<DutySettings>;
}
