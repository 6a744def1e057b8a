/** Usage windows on a store that comes back from a copy while the clock of a node lags. */
import { MemoryTableService, noStoreClock, type EraSource, type UsageReport } from "@pimentocleat/services";
import type { LeaseHandle } from "@pimentocleat/state";
import { SilentLogger } from "@pimentocleat/telemetry";
import { ManualClock, type WaitingClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { MedianClock } from "../../peers/medianClock.js";
import { buildDutySettings } from "../dutySettings.js";
import { UsageDuty } from "../usageDuty.js";

const windowMs = 5_000;
const usageDueMs = 10_000;
const settings = buildDutySettings(3_000);
/** Time for which the host is suspended, in milliseconds. */
const suspensionMs = 6_000;
/** Time from the start of a window until the suspension, in milliseconds. */
const beforeSuspensionMs = 1_600;

/** A host whose monotonic clock, unlike its wall clock, does not count the time of a suspension. */
class SuspendedHost implements WaitingClock {
    suspendedMs = 0;

    constructor(private readonly clock: ManualClock) {}

    monotonicMs(): number {
        return this.clock.monotonicMs() - this.suspendedMs;
    }

    wallMs(): number {
        return this.clock.wallMs();
    }

    wait(durationMs: number, signal?: AbortSignal): Promise<void> {
        return this.clock.wait(durationMs, signal);
    }
}

class TestBed {
    readonly clock = new ManualClock();
    readonly table = new MemoryTableService();
    readonly reports: UsageReport[] = [];

    constructor() {
        this.clock.advance(windowMs - (this.clock.wallMs() % windowMs));
        this.table.startEra();
    }

    createDuty(node: string, clock: WaitingClock, eras: EraSource): UsageDuty {
        return new UsageDuty({
            tableService: this.table,
            reportService: {
                reportUsage: (report) => {
                    this.reports.push(report);
                    return Promise.resolve();
                },
            },
            clock,
            hostClock: this.clock,
            eras,
            storeClock: noStoreClock,
            logger: new SilentLogger(),
            node,
            incarnation: `${node}-1`,
            windowMs,
            usageDueMs,
            settings,
            random: () => 0.5,
            countNodes: () => 3,
            sendCopy: () => true,
            findCollector: () => undefined,
            forwardUsage: () => true,
            readStoreContactMs: () => settings.usageGraceMs,
        });
    }

    createLease(era: number): LeaseHandle {
        return {
            name: "usage",
            fencingNumber: era,
            era,
            isValid: () => this.table.getEra() === era,
            isReadyFor: () => this.table.getEra() === era,
            isEraOver: () => false,
            buildCondition: () => ({ table: "leases", key: "fence", version: 0 }),
        };
    }
}

describe("a node that sees a new era right after its host was suspended", () => {
    // Guards against windows reported twice: after a suspension the agreed time lags until peers are heard again.
    // A host whose process is frozen reads the messages that have queued up meanwhile as if they were new.
    it.each([
        { name: "a suspension", isSuspended: true },
        { name: "a freeze in which messages of peers queue up", isSuspended: false },
    ])("reports no window that was reported in the former era during $name", async ({ isSuspended }) => {
        const bed = new TestBed();
        const { clock, table, reports } = bed;
        const former = bed.createDuty("n0", clock, table);
        const host = new SuspendedHost(clock);
        const agreedClock = new MedianClock(host);
        const hearPeers = (wallMs = clock.wallMs()): void =>
            ["n0", "n2"].forEach((peer) => agreedClock.recordPeerTime(peer, wallMs));
        let seenEra = 1;
        const next = bed.createDuty("n1", agreedClock, { getEra: () => seenEra });
        hearPeers();
        await former.reportOnce(undefined);
        await next.reportOnce(undefined);
        former.recordRequest("c0");
        await former.writeOnce();
        const copy = table.copyTables();
        clock.advance(beforeSuspensionMs);
        hearPeers();
        const queuedWallMs = clock.wallMs();
        former.recordRequest("c0");
        await former.writeOnce();
        const reportMs = windowMs + settings.usageGraceMs + 1 - beforeSuspensionMs;
        clock.advance(reportMs);
        await former.reportOnce(bed.createLease(1));
        expect(reports).toHaveLength(1);
        table.startEra(copy);
        clock.advance(suspensionMs - reportMs);
        host.suspendedMs = isSuspended ? suspensionMs : 0;
        if (!isSuspended) {
            hearPeers(queuedWallMs);
        }
        seenEra = 2;
        await next.reportOnce(undefined);
        clock.advance(100);
        hearPeers();
        clock.advance(settings.leaseTiming.durationMs + settings.leaseTiming.marginMs);
        hearPeers();
        await next.reportOnce(bed.createLease(2));
        const [first, ...others] = reports;
        const repeats = others.filter(({ windowStartMs }) => windowStartMs === first!.windowStartMs);
        expect(repeats).toEqual([]);
    });
});
