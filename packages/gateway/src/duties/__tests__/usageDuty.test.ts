import type { UsageReport } from "@pimentocleat/services";
import { MemoryTableService } from "@pimentocleat/services";
import { SilentLogger } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { buildDutySettings } from "../dutySettings.js";
import { UsageDuty } from "../usageDuty.js";

const windowMs = 5_000;
const settings = buildDutySettings(3_000);

const lease = {
    name: "usage",
    fencingNumber: 2,
    isValid: () => true,
    isReadyFor: () => true,
    buildCondition: () => ({ table: "leases", key: "fence", version: 0 }),
};

/** A node that takes the reporter's duty over after the end of a window, with a given contact to the store. */
async function reportAfterTakeover(contactMs: number): Promise<readonly UsageReport[]> {
    const clock = new ManualClock();
    clock.advance(windowMs - (clock.wallMs() % windowMs));
    const reports: UsageReport[] = [];
    const duty = new UsageDuty({
        tableService: new MemoryTableService(),
        reportService: {
            reportUsage: (report) => {
                reports.push(report);
                return Promise.resolve();
            },
        },
        clock,
        logger: new SilentLogger(),
        node: "n0",
        incarnation: "n0-1",
        windowMs,
        settings,
        random: () => 0.5,
        countNodes: () => 3,
        spreadCopy: () => false,
        readStoreContactMs: () => contactMs,
    });
    duty.recordRequest("c0");
    await duty.writeOnce();
    clock.advance(windowMs + settings.usageGraceMs + 1);
    await duty.reportOnce(lease);
    return reports;
}

describe("UsageDuty", () => {
    it("reports right after a takeover when the store answered all the time", async () => {
        expect(await reportAfterTakeover(settings.usageGraceMs)).toHaveLength(1);
    });

    it("waits for late writes after an outage of the store", async () => {
        expect(await reportAfterTakeover(0)).toHaveLength(0);
    });
});
