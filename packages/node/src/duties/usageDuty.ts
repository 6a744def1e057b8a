/**
 * Recording, copying and reporting of usage on a node.
 *
 * @packageDocumentation
 */
import {
    UsageCopyStore,
    UsageLedger,
    UsageReporter,
    UsageRowWriter,
    type LeaseHandle,
    type UsageRecorder,
} from "@pimentocleat/state";
import type { UsageByCustomer } from "@pimentocleat/policy";
import { z } from "zod";
import type { NodeUsage } from "../daemon/nodeUsage.js";
import type { PeerUsageCopy } from "../peers/peerHandlers.js";
import type { DutyOptions, DutySettings } from "./dutyOptions.js";
import { formatIncarnation, isReplaced, parseIncarnation } from "./incarnation.js";

/** Name of the lease that permits a node to report usage. */
export const usageLeaseName = "usage-reporter";

const maximumWindowsPerStep = 20;
const flushRetryMs = 200;

const countersSchema = z.record(
    z.string(),
    z.object({ requests: z.number(), promptTokens: z.number(), completionTokens: z.number() }),
) satisfies z.ZodType<UsageByCustomer>;

/** Records a node's usage, copies it to a peer, and reports the usage of all nodes under a lease. */
export class UsageDuty implements NodeUsage {
    readonly recorder: UsageRecorder;
    private readonly ledger: UsageLedger;
    private readonly copyStore: UsageCopyStore;
    private activeReporter: { readonly lease: LeaseHandle; readonly reporter: UsageReporter } | undefined;

    /**
     * @param options - The services and the peers.
     * @param settings - The durations.
     */
    constructor(
        private readonly options: DutyOptions,
        private readonly settings: DutySettings,
    ) {
        const { clock, logger, tableService } = options;
        const { callTimeoutMs, usageWindowMs: windowMs, usageRetentionMs: retentionMs } = settings;
        const writer = new UsageRowWriter({ tableService, clock, callTimeoutMs });
        this.copyStore = new UsageCopyStore({
            writer,
            clock,
            windowMs,
            retentionMs,
            logger,
            isIncarnationDead: (incarnation) => this.isPresumedDead(incarnation),
        });
        this.ledger = new UsageLedger({
            writer,
            clock,
            incarnation: formatIncarnation(options),
            windowMs,
            logger,
            copySink: {
                storeCopy: ({ windowStartMs, customers }) => this.sendCopy(windowStartMs, customers),
            },
        });
        this.recorder = this.ledger;
    }

    storeCopy(copy: PeerUsageCopy): void {
        const counters = countersSchema.safeParse(parseJson(copy.counters));
        if (counters.success) {
            const incarnation = formatIncarnation({ name: copy.owner, incarnation: copy.incarnation });
            const { windowStartMs } = copy;
            void this.copyStore.storeCopy({ incarnation, windowStartMs, customers: counters.data });
        }
    }

    /** Writes recorded usage for at most `flushTimeoutMs`; usage that is unwritten by then is copied to a peer. */
    async flush(): Promise<void> {
        const { clock } = this.options;
        const endMs = clock.monotonicMs() + this.settings.flushTimeoutMs;
        while (!(await this.ledger.flushOnce())) {
            if (clock.monotonicMs() >= endMs) {
                await this.ledger.copyOnce();
                return;
            }
            await clock.wait(flushRetryMs);
        }
    }

    /** Writes usage and completes the rows of nodes that are presumed dead. */
    async writeOnce(): Promise<void> {
        await this.ledger.flushOnce();
        await this.copyStore.recoverOnce();
    }

    /** Copies usage to a peer. */
    async copyOnce(): Promise<void> {
        await this.ledger.copyOnce();
    }

    /**
     * Seals and reports the windows that are due.
     *
     * @param lease - The reporter's lease, if this node holds it.
     */
    async reportOnce(lease: LeaseHandle | undefined): Promise<void> {
        const { reportService } = this.options;
        if (lease === undefined || reportService === undefined) {
            this.activeReporter = undefined;
            return;
        }
        if (this.activeReporter?.lease !== lease) {
            const { settings } = this;
            const reporter = new UsageReporter({
                ...this.options,
                lease,
                reportService,
                node: this.options.name,
                receiver: {
                    checksFencing: reportService.checksFencing ?? false,
                    wireBoundMs: settings.wireBoundMs,
                },
                windowMs: settings.usageWindowMs,
                graceMs: settings.usageGraceMs,
                maximumWindowsPerStep,
                retentionMs: settings.usageRetentionMs,
                callTimeoutMs: settings.callTimeoutMs,
            });
            this.activeReporter = { lease, reporter };
        }
        await this.activeReporter.reporter.advanceOnce();
    }

    private async sendCopy(windowStartMs: number, customers: UsageByCustomer): Promise<void> {
        const counters = new TextEncoder().encode(JSON.stringify(customers));
        const { name: owner, incarnation, copyUsage } = this.options;
        if (!(await copyUsage({ owner, incarnation, windowStartMs, counters }))) {
            throw new Error("no peer stored the usage copy");
        }
    }

    /** Checks whether a node is dead or unreachable; completing the row of a node that still runs is harmless. */
    private isPresumedDead(incarnation: string): boolean {
        const { name: self, incarnation: ownIncarnation, listMembers } = this.options;
        const present = [{ name: self, incarnation: ownIncarnation }, ...listMembers()];
        const { name } = parseIncarnation(incarnation);
        return !present.some((node) => node.name === name) || isReplaced(incarnation, present);
    }
}

function parseJson(payload: Uint8Array): unknown {
    try {
        return JSON.parse(new TextDecoder().decode(payload));
    } catch {
        // A peer of another version may send content that this version cannot decode.
        return undefined;
    }
}
