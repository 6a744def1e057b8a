import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, expect, it } from "vitest";
import { HttpOrderingService } from "../httpOrderingService.js";
import { HttpUsageReportService } from "../httpUsageReportService.js";

const timeoutMs = 5_000;
const order = {
    pool: "pool",
    dataCentre: "one",
    reclaimable: false,
    count: 1,
    generation: 1,
    fencingNumber: 1,
    sender: "node",
};
const report = { windowStartMs: 0, windowMs: 1, customers: [], fencingNumber: 1, sender: "node" };

describe("a call whose sending is no longer allowed", () => {
    it.each([
        { name: "on a new connection", earlierOrders: 0 },
        { name: "on a reused connection", earlierOrders: 1 },
    ])("sends no request $name", async ({ earlierOrders }) => {
        let requests = 0;
        const server = createServer((request, response) => {
            requests += 1;
            request.resume().on("end", () => response.end(JSON.stringify({ outcome: "accepted" })));
        });
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const orders = new HttpOrderingService({ address });
        const reports = new HttpUsageReportService({ address });
        for (let sent = 0; sent < earlierOrders; sent += 1) {
            expect(await orders.orderServers(order, timeoutMs, () => true)).toEqual({ outcome: "accepted" });
        }
        const unavailable = { kind: "unavailable" };
        await expect(orders.orderServers(order, timeoutMs, () => false)).rejects.toMatchObject(unavailable);
        await expect(reports.reportUsage(report, timeoutMs, () => false)).rejects.toMatchObject(unavailable);
        expect(requests).toBe(earlierOrders);
        await Promise.all([orders.close(), reports.close()]);
        server.close();
    });
});
