/**
 * What a deliberately broken version of the system replaces.
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
import { soundParts, type ClusterParts } from "../../../../state/src/configuration/__tests__/cluster.js";

/** The replaceable parts. */
export interface SystemMutant {
    readonly parts: ClusterParts;
    readonly createClaims: (options: TableClaimStoreOptions) => ClaimStore;
    readonly wrapLease: (lease: LeaseHandle) => LeaseHandle;
    readonly schedulerOptions?: (clock: Clock) => Partial<SchedulerOptions>;
    /** Whether a request that waited is sent although the node lost touch meanwhile. */
    readonly sendsWhileIsolated: boolean;
    /** Whether nodes never hear of leaving servers. */
    readonly hidesLeavingServers: boolean;
    /** Whether backend servers run a request although they answer that they did not. */
    readonly runsRejected: boolean;
    readonly wrapKeys: (keys: KeyRegistry) => KeyRegistry;
}

/** The system as it is. */
export const unmodifiedSystem: SystemMutant = {
    parts: soundParts,
    createClaims: (options) => new TableClaimStore(options),
    wrapLease: (lease) => lease,
    sendsWhileIsolated: false,
    hidesLeavingServers: false,
    runsRejected: false,
    wrapKeys: (keys) => keys,
};
