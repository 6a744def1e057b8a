/**
 * What a deliberately broken version of the system replaces.
 *
 * @packageDocumentation
 */
import type { SchedulerOptions } from "@pimentocleat/policy";
import type { TableService } from "@pimentocleat/platform";
import {
    TableClaimStore,
    type ClaimStore,
    type LeaseHandle,
    type TableClaimStoreOptions,
} from "@pimentocleat/state";
import type { Clock } from "@pimentocleat/types";
import { soundParts, type ClusterParts } from "../../../../state/src/configuration/__tests__/cluster.js";

/** The replaceable parts. */
export interface SystemMutant {
    readonly parts: ClusterParts;
    readonly createClaims: (options: TableClaimStoreOptions) => ClaimStore;
    readonly wrapLease: (lease: LeaseHandle) => LeaseHandle;
    readonly wrapLeaseTable: (table: TableService) => TableService;
    readonly wrapReportTable: (table: TableService) => TableService;
    readonly schedulerOptions?: (clock: Clock) => Partial<SchedulerOptions>;
    /** Whether a request that waited is sent although the node lost touch meanwhile. */
    readonly sendsWhileCutOff: boolean;
    /** Whether nodes never hear of leaving servers. */
    readonly hidesLeaving: boolean;
    /** Whether backend servers run a request although they answer that they did not. */
    readonly runsRejected: boolean;
    /** Whether every node takes any key for that of the first customer. */
    readonly confusesCustomers: boolean;
}

/** The system as it is. */
export const soundSystem: SystemMutant = {
    parts: soundParts,
    createClaims: (options) => new TableClaimStore(options),
    wrapLease: (lease) => lease,
    wrapLeaseTable: (table) => table,
    wrapReportTable: (table) => table,
    sendsWhileCutOff: false,
    hidesLeaving: false,
    runsRejected: false,
    confusesCustomers: false,
};
