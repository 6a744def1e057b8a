/**
 * What the duties of a node need.
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
    /** Bound on one call to the table service. */
    readonly callTimeoutMs: number;
    /** Longest time of an order or a report on the wire. */
    readonly wireBoundMs: number;
    readonly orderIntervalMs: number;
    readonly usageWindowMs: number;
    /** How long after its end a usage window is sealed. */
    readonly usageGraceMs: number;
    /** Time between two writes of usage to the table service. */
    readonly usageFlushIntervalMs: number;
    /** Time between two copies of usage to a peer. */
    readonly usageCopyIntervalMs: number;
    readonly usageRetentionMs: number;
    readonly claimRetentionMs: number;
    readonly claimCleaningIntervalMs: number;
    /** Longest time that a stop spends on writing usage. */
    readonly flushTimeoutMs: number;
}

/** What the duties of a node need. */
export interface DutyOptions {
    readonly name: string;
    /** Incarnation under which the peers know this node; a restart is higher. */
    readonly incarnation: number;
    readonly tableService: TableService;
    /** Orders backend servers; none are ordered when absent. */
    readonly orderingService?: OrderingService;
    /** Accepts usage reports; usage is kept in the table service but not reported when absent. */
    readonly reportService?: UsageReportService;
    readonly clock: WaitingClock;
    readonly random: () => number;
    readonly logger: Logger;
    /** Names and incarnations of the nodes known to be present, without this one. */
    readonly listMembers: () => readonly NodeIncarnation[];
    /** Copies usage to a peer; tells whether one has it. */
    readonly copyUsage: (copy: PeerUsageCopy) => Promise<boolean>;
    /** The pools in force; empty before there is a configuration. */
    readonly listPools: () => readonly Pool[];
    /** This node's own summaries. */
    readonly listSummaries: () => readonly PoolSummary[];
    /** Gives the notices of leaving servers. */
    readonly hostList: HostList;
    readonly settings?: Partial<DutySettings>;
}
