/**
 * The duties that one node at a time has, and the usage that every node counts.
 *
 * @packageDocumentation
 */
import type { OrderingService, TableService, UsageReportService } from "@pimentocleat/services";
import { LeaseManager, runEvery, type ForwardedUsage, type UsageCopy } from "@pimentocleat/state";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { ServerDirectory } from "../backends/serverDirectory.js";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";
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
    readonly reportService: UsageReportService | undefined;
    readonly orderingService: OrderingService | undefined;
    readonly clock: WaitingClock;
    /** Its wall time says to which window usage belongs; the same on all nodes, also when a host's clock is stepped. */
    readonly usageClock: WaitingClock;
    readonly random: () => number;
    readonly logger: Logger;
    readonly usageWindowMs: number;
    /** How long after its end a window's report is due, in milliseconds. */
    readonly usageDueMs: number;
    readonly settings: DutySettings;
    /** Whether no duty can have been held before this process started. */
    readonly isFirstStart: boolean;
    readonly configuration: ActiveConfiguration;
    readonly directory: ServerDirectory;
    readonly sendCopy: (copy: UsageCopy) => boolean;
    readonly findCollector: () => string | undefined;
    readonly forwardUsage: (usage: ForwardedUsage, collector: string) => boolean;
    /** Whether this node tries for duties; the others save the store their calls while such nodes live. */
    readonly isCandidate: () => boolean;
    /** Counts the nodes that registered. */
    readonly countNodes: () => number;
}

interface OrderableService {
    readonly name: string;
    readonly rule: OrderingRule;
}

/** Lease of the node that reports usage. */
const usageLeaseName = "usage";

/** Runs the duties. */
export class NodeDuties {
    readonly usage: UsageDuty;
    private readonly leases: LeaseManager;
    private readonly ordering = new Map<string, OrderingDuty>();

    /** @param options - The services and the durations. */
    constructor(private readonly options: NodeDutiesOptions) {
        const { node, tableService, clock, random, logger, settings, isFirstStart } = options;
        this.usage = new UsageDuty({
            ...options,
            clock: options.usageClock,
            windowMs: options.usageWindowMs,
            readStoreContactMs: () => this.leases.getContactDurationMs(),
        });
        this.leases = new LeaseManager({
            tableService,
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
     * @param signal - Ends the duties; leases are kept until {@link NodeDuties.stop}.
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

    /** Gives the leases up, so that no other node has to wait for their end. */
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
        for (const { name, rule } of this.listOrderableServices()) {
            await this.ensureOrderingDuty(name)?.advanceOnce(rule, this.options.directory.listServers(name));
        }
    }

    /** A new tenure needs a new duty. */
    private ensureOrderingDuty(service: string): OrderingDuty | undefined {
        const lease = this.leases.findHeldLease(formatOrderingLease(service));
        const { orderingService } = this.options;
        if (lease === undefined || orderingService === undefined) {
            this.ordering.delete(service);
            return undefined;
        }
        const known = this.ordering.get(service);
        if (known?.lease === lease) {
            return known;
        }
        const duty = new OrderingDuty({ ...this.options, orderingService, lease, service });
        this.ordering.set(service, duty);
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
