import { MemoryTableService, noEras, noStoreClock, type UsageReport } from "@pimentocleat/services";
import type { ForwardedUsage } from "@pimentocleat/state";
import { SilentLogger } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { buildDutySettings } from "../dutySettings.js";
import { UsageDuty, type UsageDutyOptions } from "../usageDuty.js";

const windowMs = 5_000;
const usageDueMs = 10_000;
const usageTable = "usage";
const settings = buildDutySettings(3_000);

const lease = {
    name: "usage",
    fencingNumber: 2,
    era: 0,
    isValid: () => true,
    isReadyFor: () => true,
    isEraOver: () => false,
    buildCondition: () => ({ table: "leases", key: "fence", version: 0 }),
};

function flushTasks(): Promise<void> {
    return new Promise((resolve) => setImmediate(resolve));
}

interface DutyTestBed {
    readonly clock: ManualClock;
    readonly table: MemoryTableService;
    readonly reports: UsageReport[];
    readonly forwarded: ForwardedUsage[];
    /** Number of copies that were sent to other nodes. */
    copies: number;
}

function createTestBed(): DutyTestBed {
    const clock = new ManualClock();
    clock.advance(windowMs - (clock.wallMs() % windowMs));
    return { clock, table: new MemoryTableService(), reports: [], forwarded: [], copies: 0 };
}

function createDuty(testBed: DutyTestBed, change: Partial<UsageDutyOptions> = {}): UsageDuty {
    return new UsageDuty({
        tableService: testBed.table,
        reportService: {
            reportUsage: (report) => {
                testBed.reports.push(report);
                return Promise.resolve();
            },
        },
        clock: testBed.clock,
        hostClock: testBed.clock,
        logger: new SilentLogger(),
        node: "n0",
        incarnation: "n0-1",
        windowMs,
        usageDueMs,
        settings,
        random: () => 0.5,
        countNodes: () => 3,
        eras: noEras,
        storeClock: noStoreClock,
        sendCopy: () => {
            testBed.copies += 1;
            return true;
        },
        findCollector: () => undefined,
        forwardUsage: (usage) => {
            testBed.forwarded.push(usage);
            return true;
        },
        readStoreContactMs: () => 0,
        ...change,
    });
}

/** Lets a node acquire the reporter's lease after the end of a window, with a given time of contact to the store. */
async function reportAfterTakeover(contactMs: number): Promise<readonly UsageReport[]> {
    const testBed = createTestBed();
    const duty = createDuty(testBed, { readStoreContactMs: () => contactMs });
    duty.recordRequest("c0");
    await duty.writeOnce();
    testBed.clock.advance(windowMs + settings.usageGraceMs + 1);
    await duty.reportOnce(lease);
    return testBed.reports;
}

/** Runs a node's duty for one window and one second. */
async function runDuty(testBed: DutyTestBed, duty: UsageDuty, onStep: () => void = () => {}): Promise<void> {
    const stopping = new AbortController();
    const running = duty.run(stopping.signal);
    for (let passedMs = 0; passedMs < windowMs + 1_000; passedMs += 50) {
        await flushTasks();
        onStep();
        testBed.clock.advance(50);
    }
    stopping.abort();
    testBed.clock.advance(windowMs);
    await running;
}

describe("UsageDuty", () => {
    it("reports right after a takeover when the store has been available", async () => {
        expect(await reportAfterTakeover(settings.usageGraceMs)).toHaveLength(1);
    });

    it("waits for late writes after a store outage", async () => {
        expect(await reportAfterTakeover(0)).toHaveLength(0);
    });

    it("reports in time when the store fails shortly before the report is due", async () => {
        const testBed = createTestBed();
        const duty = createDuty(testBed);
        duty.recordRequest("c0");
        await duty.writeOnce();
        testBed.clock.advance(windowMs + usageDueMs - 1_900);
        testBed.table.setFaultPlan(() => "unavailable");
        await duty.reportOnce(lease);
        testBed.table.setFaultPlan(() => "none");
        testBed.clock.advance(settings.stepMs);
        await duty.reportOnce(lease);
        expect(testBed.reports).toHaveLength(1);
    });

    it("makes no store call when another node writes its counts", async () => {
        const testBed = createTestBed();
        const duty = createDuty(testBed, { findCollector: () => "n1" });
        duty.recordRequest("c0");
        let replied = 0;
        await runDuty(testBed, duty, () => {
            for (const { incarnation, windowStartMs, version } of testBed.forwarded.slice(replied)) {
                replied += 1;
                duty.recordStored({ incarnation, windowStartMs, version, newVersion: version + 1 });
            }
        });
        expect(testBed.forwarded).toHaveLength(1);
        expect(testBed.table.getCallCounts()).toEqual({ reads: 0, writes: 0 });
    });

    it.each([
        { name: "does not respond", answer: undefined },
        { name: "acknowledges another process's counts", answer: "n0-0" },
    ])("writes its counts itself when the other node $name", async ({ answer }) => {
        const testBed = createTestBed();
        const duty = createDuty(testBed, { findCollector: () => "n1" });
        duty.recordRequest("c0");
        await runDuty(testBed, duty, () => {
            const [usage] = testBed.forwarded;
            if (usage !== undefined && answer !== undefined) {
                duty.recordStored({ ...usage, incarnation: answer, newVersion: 1 });
            }
        });
        const rows = await testBed.table.scanRows(usageTable);
        expect(rows).toHaveLength(1);
    });

    it("writes its own and its neighbours' counts in one call", async () => {
        const testBed = createTestBed();
        const duty = createDuty(testBed, { findCollector: () => "n0" });
        duty.recordRequest("c0");
        const customers = { c0: { requests: 2, promptTokens: 0, completionTokens: 0 } };
        const windowStartMs = testBed.clock.wallMs();
        const replies: number[] = [];
        for (const incarnation of ["n1-1", "n2-1"]) {
            const usage = { incarnation, windowStartMs, version: 0, customers };
            duty.addForwardedUsage(usage, (version) => replies.push(version));
        }
        await runDuty(testBed, duty);
        expect(replies).toHaveLength(2);
        expect(await testBed.table.scanRows(usageTable)).toHaveLength(3);
        expect(testBed.table.getCallCounts().writes).toBe(1);
        expect(testBed.copies).toBe(0);
    });
});
