/**
 * What a node of the whole system finds around it: clock, store, peers, platform and backend servers.
 *
 * @packageDocumentation
 */
import type { HostList, OrderingService, UsageReportService } from "@pimentocleat/services";
import type { UsageAmount, UsageRecorder } from "@pimentocleat/state";
import type { PoolTasks } from "../../../../node/src/dispatch/poolTasks.js";
import type { Cluster, ClusterNode } from "../../../../state/src/configuration/__tests__/cluster.js";
import type { FakeBackend } from "./fakeBackend.js";
import type { SystemMutant } from "./systemMutant.js";

/** One caller's request. */
export interface CallerRequest {
    readonly requestId: string;
    readonly keyId: string;
    readonly path: string;
    readonly idempotencyKey: string | undefined;
}

/** A node as its peers see it. */
export interface PeerNode extends ClusterNode {
    readonly name: string;
    readonly tasks: PoolTasks;
}

export interface SystemEnvironment extends Cluster<PeerNode>, FakeBackend, HostList {
    readonly mutant: SystemMutant;
    readonly desiredCount: number;
    createToken(): string;
    recordViolation(breach: string): void;
    recordUsage(recorder: UsageRecorder, amount: UsageAmount): void;
    checkCustomer(request: CallerRequest, customer: string): void;
    listReachable(self: ClusterNode): readonly PeerNode[];
    buildOrderingService(node: ClusterNode): OrderingService;
    buildReportService(node: ClusterNode): UsageReportService;
}
