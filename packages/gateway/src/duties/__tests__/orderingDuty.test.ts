import {
    MemoryTableService,
    PlatformError,
    PlatformErrorKind,
    type OrderingService,
} from "@pimentocleat/services";
import { SilentLogger } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import type { RegisteredServer } from "../../backends/backendServer.js";
import type { OrderingRule } from "../../configuration/gatewayConfiguration.js";
import { buildDutySettings } from "../dutySettings.js";
import { OrderingDuty } from "../orderingDuty.js";

const rule: OrderingRule = {
    minimum: 1,
    maximum: 8,
    startMs: 4_000,
    reclaimablePrice: 0.15,
    prices: { a: 1, b: 1, c: 1 },
};

const servers: readonly RegisteredServer[] = ["a", "b", "c"].flatMap((dataCentre) =>
    [0, 1, 2].map((index) => ({
        id: `${dataCentre}-${String(index)}`,
        version: 1,
        service: "engines",
        address: "127.0.0.1:1",
        dataCentre,
        slots: 64,
        state: "ready" as const,
        bornMs: 1,
        isReclaimable: false,
    })),
);

function createDuty(orderServers: OrderingService["orderServers"]) {
    const clock = new ManualClock();
    const tableService = new MemoryTableService();
    const duty = new OrderingDuty({
        lease: {
            name: "orders/engines",
            fencingNumber: 1,
            era: 0,
            isValid: () => true,
            isReadyFor: () => true,
            isEraOver: () => false,
            buildCondition: () => ({ table: "leases", key: "fence", version: 0 }),
        },
        service: "engines",
        node: "n0",
        tableService,
        orderingService: { orderServers },
        clock,
        logger: new SilentLogger(),
        settings: buildDutySettings(3_000),
    });
    return { clock, duty, tableService };
}

describe("OrderingDuty", () => {
    it("failing platform: tries one order, and the others only after a pause", async () => {
        let calls = 0;
        const { clock, duty } = createDuty(() => {
            calls += 1;
            return Promise.reject(new PlatformError(PlatformErrorKind.Unavailable, "503"));
        });
        for (let step = 0; step < 4; step += 1) {
            await duty.advanceOnce(rule, servers);
            clock.advance(200);
        }
        expect(calls).toBe(1);
        clock.advance(1_000);
        await duty.advanceOnce(rule, servers);
        expect(calls).toBe(2);
    });

    it("change of holders: the stored orders bear the number of servers that are needed", async () => {
        const { duty, tableService } = createDuty(() => Promise.resolve({ outcome: "accepted" }));
        await duty.advanceOnce(rule, servers);
        const rows = await tableService.scanRows("orders");
        expect(rows.length).toBeGreaterThan(0);
        rows.forEach(({ value }) => expect(value).toMatchObject({ baseline: servers.length }));
    });
});
