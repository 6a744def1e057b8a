/**
 * Environment of a node in the whole-system simulation: clock, store, peers, platform and backend servers.
 *
 * @packageDocumentation
 */
import type { HostList, OrderingService, UsageReportService } from "@pimentocleat/services";
import type { UsageAmount, UsageRecorder } from "@pimentocleat/state";
import type { PoolTasks } from "../../../../node/src/dispatch/poolTasks.js";
import type { Cluster, ClusterNode } from "../../../../state/src/configuration/__tests__/cluster.js";
import type { FakeBackend } from "./fakeBackend.js";
import type { SystemMutant } from "./systemMutant.js";

/** Request of a caller. */
export interface CallerRequest {
    readonly requestId: string;
    readonly keyId: string;
    readonly path: string;
    readonly idempotencyKey: string | undefined;
}

/** Part of a node that its peers use. */
export interface PeerNode extends ClusterNode {
    readonly name: string;
    readonly tasks: PoolTasks;
}

/** Environment of a node, and the oracle that it reports to. */
export interface SystemEnvironment extends Cluster<PeerNode>, FakeBackend, HostList {
    readonly mutant: SystemMutant;
    readonly desiredCount: number;
    createToken(): string;
    recordViolation(violation: string): void;
    recordUsage(recorder: UsageRecorder, amount: UsageAmount): void;
    checkCustomer(request: CallerRequest, customer: string): void;
    listReachable(self: ClusterNode): readonly PeerNode[];
    buildOrderingService(node: ClusterNode): OrderingService;
    buildReportService(node: ClusterNode): UsageReportService;
}
