/**
 * Runs the duties that one node at a time holds, and the usage counting that every node performs.
 *
 * @packageDocumentation
 */
import type {
    EraSource,
    OrderingService,
    StoreClock,
    TableService,
    UsageReportService,
} from "@pimentocleat/services";
import { LeaseManager, runEvery, type ForwardedUsage, type UsageCopy } from "@pimentocleat/state";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { ServerDirectory } from "../backends/serverDirectory.js";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";
import type { Evacuations } from "../configuration/evacuations.js";
import type { OrderingRule } from "../configuration/gatewayConfiguration.js";
import { OrderingDuty } from "./orderingDuty.js";
import type { DutySettings } from "./dutySettings.js";
import { UsageDuty } from "./usageDuty.js";
import { SuspendAwareClock } from "./suspendAwareClock.js";

/** Options of {@link NodeDuties}. */
export interface NodeDutiesOptions {
    readonly node: string;
    readonly incarnation: string;
    readonly tableService: TableService;
    /** Era of the table service. */
    readonly eras: EraSource;
    /** Clock of the table service. */
    readonly storeClock: StoreClock;
    readonly reportService: UsageReportService | undefined;
    readonly orderingService: OrderingService | undefined;
    readonly clock: WaitingClock;
    /**
     * Clock whose wall time assigns usage to a window. Its wall time is the same on all nodes, even when the clock of one
     * host is stepped.
     */
    readonly usageClock: WaitingClock;
    readonly random: () => number;
    readonly logger: Logger;
    readonly usageWindowMs: number;
    /** Time after the end of a window by which its report is due, in milliseconds. */
    readonly usageDueMs: number;
    readonly settings: DutySettings;
    /** Whether no node can have held a duty before this process started. */
    readonly isFirstStart: boolean;
    readonly configuration: ActiveConfiguration;
    readonly directory: ServerDirectory;
    readonly evacuations: Evacuations;
    /** Sends other nodes a copy of counts that this node cannot write; returns whether there was such a node. */
    readonly sendCopy: (copy: UsageCopy) => boolean;
    /** Finds the node that writes counts for others; this node's own name when it does so itself. */
    readonly findCollector: () => string | undefined;
    /** Sends counts to the node that writes them; returns whether that node is registered. */
    readonly forwardUsage: (usage: ForwardedUsage, collector: string) => boolean;
    /**
     * Returns whether this node tries to acquire leases. While such nodes are alive, the others make no lease calls,
     * which reduces the load on the store.
     */
    readonly isCandidate: () => boolean;
    /** Returns the number of registered nodes. */
    readonly countNodes: () => number;
}

/** A service whose configuration allows ordering backend servers. */
interface OrderableService {
    readonly name: string;
    readonly rule: OrderingRule;
}

/** Name of the lease of the node that reports usage. */
const usageLeaseName = "usage";

/** Runs the duties of one node. */
export class NodeDuties {
    readonly usage: UsageDuty;
    private readonly leases: LeaseManager;
    private readonly orderingDuties = new Map<string, OrderingDuty>();

    /** @param options - The services and the durations. */
    constructor(private readonly options: NodeDutiesOptions) {
        const { node, tableService, eras, clock, random, logger, settings, isFirstStart } = options;
        this.usage = new UsageDuty({
            ...options,
            clock: options.usageClock,
            hostClock: clock,
            windowMs: options.usageWindowMs,
            readStoreContactMs: () => this.leases.getContactDurationMs(),
        });
        this.leases = new LeaseManager({
            tableService,
            eras,
            clock,
            validityClock: new SuspendAwareClock(clock),
            node,
            listNodes: () => [],
            isCandidate: options.isCandidate,
            earliestAcquisitionMs: isFirstStart ? 0 : clock.monotonicMs() + settings.startDelayMs,
            logger,
            random,
            timing: settings.leaseTiming,
            callTimeoutMs: settings.callTimeoutMs,
            watchIntervalMs: settings.watchIntervalMs,
            preferenceDelayMs: settings.preferenceDelayMs,
            wireBoundMs: settings.wireBoundMs,
        });
    }

    /**
     * Runs the duties until the signal is aborted.
     *
     * @param signal - Stops the duties; the leases are held until {@link NodeDuties.stop}.
     */
    async run(signal: AbortSignal): Promise<void> {
        const { settings } = this.options;
        await Promise.all([
            this.runLeases(signal),
            this.usage.run(signal),
            this.runStep(settings.stepMs, signal, () =>
                this.usage.reportOnce(this.leases.findHeldLease(usageLeaseName)),
            ),
            this.runStep(settings.stepMs, signal, () => this.orderOnce()),
        ]);
    }

    /** Releases the leases, so that no other node has to wait until they expire. */
    stop(): Promise<void> {
        return this.leases.releaseAll();
    }

    private runLeases(signal: AbortSignal): Promise<void> {
        this.updateDesiredLeases();
        return this.leases.run(signal);
    }

    private updateDesiredLeases(): void {
        const { reportService } = this.options;
        this.leases.setDesiredLeases([
            ...(reportService === undefined ? [] : [usageLeaseName]),
            ...this.listOrderableServices().map(({ name }) => formatOrderingLease(name)),
        ]);
    }

    private listOrderableServices(): readonly OrderableService[] {
        const { configuration, orderingService } = this.options;
        if (orderingService === undefined) {
            return [];
        }
        return (configuration.readCurrent()?.services ?? []).flatMap(({ name, ordering }) =>
            ordering === undefined ? [] : [{ name, rule: ordering }],
        );
    }

    private async orderOnce(): Promise<void> {
        this.updateDesiredLeases();
        const { directory, evacuations } = this.options;
        for (const { name, rule } of this.listOrderableServices()) {
            const duty = this.ensureOrderingDuty(name);
            await duty?.advanceOnce(rule, directory.listServers(name), evacuations.listEvacuated());
        }
    }

    /** Returns the duty for the lease that is held now; each acquisition of the lease gets a new duty. */
    private ensureOrderingDuty(service: string): OrderingDuty | undefined {
        const lease = this.leases.findHeldLease(formatOrderingLease(service));
        const { orderingService } = this.options;
        if (lease === undefined || orderingService === undefined) {
            this.orderingDuties.delete(service);
            return undefined;
        }
        const existing = this.orderingDuties.get(service);
        if (existing?.lease === lease) {
            return existing;
        }
        const duty = new OrderingDuty({ ...this.options, orderingService, lease, service });
        this.orderingDuties.set(service, duty);
        return duty;
    }

    private runStep(intervalMs: number, signal: AbortSignal, step: () => Promise<unknown>): Promise<void> {
        const { clock, random, logger } = this.options;
        return runEvery({ intervalMs, clock, random, logger, signal }, step);
    }
}

function formatOrderingLease(service: string): string {
    return `orders/${service}`;
}
