/**
 * Parts that a deliberately broken version of the system replaces.
 *
 * @packageDocumentation
 */
import type { SchedulerOptions } from "@pimentocleat/policy";
import {
    TableClaimStore,
    type ClaimStore,
    type KeyRegistry,
    type LeaseHandle,
    type TableClaimStoreOptions,
} from "@pimentocleat/state";
import type { Clock } from "@pimentocleat/types";
import { defaultParts, type ClusterParts } from "../../../../state/src/configuration/__tests__/cluster.js";

/** Replaceable parts of the system. */
export interface SystemMutant {
    readonly parts: ClusterParts;
    readonly createClaims: (options: TableClaimStoreOptions) => ClaimStore;
    readonly wrapLease: (lease: LeaseHandle) => LeaseHandle;
    readonly schedulerOptions?: (clock: Clock) => Partial<SchedulerOptions>;
    /** Whether a node sends a queued request although it lost contact with the store meanwhile. */
    readonly sendsWhileIsolated: boolean;
    /** Whether nodes receive no notices of leaving servers. */
    readonly hidesLeavingServers: boolean;
    /** Whether backend servers run a request although they respond that they did not. */
    readonly runsRejected: boolean;
    readonly wrapKeys: (keys: KeyRegistry) => KeyRegistry;
}

/** The system with no part replaced. */
export const unmodifiedSystem: SystemMutant = {
    parts: defaultParts,
    createClaims: (options) => new TableClaimStore(options),
    wrapLease: (lease) => lease,
    sendsWhileIsolated: false,
    hidesLeavingServers: false,
    runsRejected: false,
    wrapKeys: (keys) => keys,
};
