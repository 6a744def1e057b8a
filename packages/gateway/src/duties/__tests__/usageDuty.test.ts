import { MemoryTableService, type UsageReport } from "@pimentocleat/services";
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
    isValid: () => true,
    isReadyFor: () => true,
    buildCondition: () => ({ table: "leases", key: "fence", version: 0 }),
};

function settleTasks(): Promise<void> {
    return new Promise((resolve) => setImmediate(resolve));
}

interface DutyWorld {
    readonly clock: ManualClock;
    readonly table: MemoryTableService;
    readonly reports: UsageReport[];
    readonly forwarded: ForwardedUsage[];
    /** How many copies were sent to other nodes. */
    copies: number;
}

function createWorld(): DutyWorld {
    const clock = new ManualClock();
    clock.advance(windowMs - (clock.wallMs() % windowMs));
    return { clock, table: new MemoryTableService(), reports: [], forwarded: [], copies: 0 };
}

function createDuty(world: DutyWorld, change: Partial<UsageDutyOptions> = {}): UsageDuty {
    return new UsageDuty({
        tableService: world.table,
        reportService: {
            reportUsage: (report) => {
                world.reports.push(report);
                return Promise.resolve();
            },
        },
        clock: world.clock,
        logger: new SilentLogger(),
        node: "n0",
        incarnation: "n0-1",
        windowMs,
        usageDueMs,
        settings,
        random: () => 0.5,
        countNodes: () => 3,
        sendCopy: () => {
            world.copies += 1;
            return true;
        },
        findCollector: () => undefined,
        forwardUsage: (usage) => {
            world.forwarded.push(usage);
            return true;
        },
        readStoreContactMs: () => 0,
        ...change,
    });
}

/** A node that takes the reporter's duty over after the end of a window, with a given contact to the store. */
async function reportAfterTakeover(contactMs: number): Promise<readonly UsageReport[]> {
    const world = createWorld();
    const duty = createDuty(world, { readStoreContactMs: () => contactMs });
    duty.recordRequest("c0");
    await duty.writeOnce();
    world.clock.advance(windowMs + settings.usageGraceMs + 1);
    await duty.reportOnce(lease);
    return world.reports;
}

/** Lets a node run for one window and a second. */
async function runDuty(world: DutyWorld, duty: UsageDuty, onStep: () => void = () => {}): Promise<void> {
    const stopping = new AbortController();
    const running = duty.run(stopping.signal);
    for (let passedMs = 0; passedMs < windowMs + 1_000; passedMs += 50) {
        await settleTasks();
        onStep();
        world.clock.advance(50);
    }
    stopping.abort();
    world.clock.advance(windowMs);
    await running;
}

describe("UsageDuty", () => {
    it("reports right after a takeover when the store answered all the time", async () => {
        expect(await reportAfterTakeover(settings.usageGraceMs)).toHaveLength(1);
    });

    it("waits for late writes after an outage of the store", async () => {
        expect(await reportAfterTakeover(0)).toHaveLength(0);
    });

    it("reports in time although the store failed shortly before the report is due", async () => {
        const world = createWorld();
        const duty = createDuty(world);
        duty.recordRequest("c0");
        await duty.writeOnce();
        world.clock.advance(windowMs + usageDueMs - 1_900);
        world.table.setFaultPlan(() => "unavailable");
        await duty.reportOnce(lease);
        world.table.setFaultPlan(() => "none");
        world.clock.advance(settings.stepMs);
        await duty.reportOnce(lease);
        expect(world.reports).toHaveLength(1);
    });

    it("makes no call of the store when another node writes its counts", async () => {
        const world = createWorld();
        const duty = createDuty(world, { findCollector: () => "n1" });
        duty.recordRequest("c0");
        let replied = 0;
        await runDuty(world, duty, () => {
            for (const { incarnation, windowStartMs, version } of world.forwarded.slice(replied)) {
                replied += 1;
                duty.recordStored({ incarnation, windowStartMs, version, newVersion: version + 1 });
            }
        });
        expect(world.forwarded).toHaveLength(1);
        expect(world.table.getCallCounts()).toEqual({ reads: 0, writes: 0 });
    });

    it.each([
        { name: "answers nothing", answer: undefined },
        { name: "answers another process", answer: "n0-0" },
    ])("writes its counts itself when the other node $name", async ({ answer }) => {
        const world = createWorld();
        const duty = createDuty(world, { findCollector: () => "n1" });
        duty.recordRequest("c0");
        await runDuty(world, duty, () => {
            const [usage] = world.forwarded;
            if (usage !== undefined && answer !== undefined) {
                duty.recordStored({ ...usage, incarnation: answer, newVersion: 1 });
            }
        });
        const rows = await world.table.scanRows(usageTable);
        expect(rows).toHaveLength(1);
    });

    it("writes the counts of its neighbours and its own in one call", async () => {
        const world = createWorld();
        const duty = createDuty(world, { findCollector: () => "n0" });
        duty.recordRequest("c0");
        const customers = { c0: { requests: 2, promptTokens: 0, completionTokens: 0 } };
        const windowStartMs = world.clock.wallMs();
        const replies: number[] = [];
        for (const incarnation of ["n1-1", "n2-1"]) {
            const usage = { incarnation, windowStartMs, version: 0, customers };
            duty.addForwardedUsage(usage, (version) => replies.push(version));
        }
        await runDuty(world, duty);
        expect(replies).toHaveLength(2);
        expect(await world.table.scanRows(usageTable)).toHaveLength(3);
        expect(world.table.getCallCounts().writes).toBe(1);
        expect(world.copies).toBe(0);
    });
});
