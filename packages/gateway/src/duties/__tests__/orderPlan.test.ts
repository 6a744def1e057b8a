import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import type { RegisteredServer } from "../../backends/backendServer.js";
import type { OrderingRule } from "../../configuration/gatewayConfiguration.js";
import { OrderPlan } from "../orderPlan.js";

const rule: OrderingRule = {
    minimum: 1,
    maximum: 8,
    startMs: 4_000,
    reclaimablePrice: 0.15,
    prices: { a: 1, b: 0.8, c: 1.25 },
};

function buildServers(
    dataCentre: string,
    count: number,
    change: Partial<RegisteredServer> = {},
): RegisteredServer[] {
    return Array.from({ length: count }, (...[, index]) => ({
        id: `${dataCentre}-${String(index)}-${String(change.isReclaimable ?? false)}`,
        version: 1,
        service: "engines",
        address: "127.0.0.1:1",
        dataCentre,
        slots: 64,
        state: "ready" as const,
        bornMs: 1,
        isReclaimable: false,
        ...change,
    }));
}

const started = ["a", "b", "c"].flatMap((dataCentre) => buildServers(dataCentre, 3));
const reclaimable = ["a", "b", "c"].flatMap((dataCentre) =>
    buildServers(dataCentre, 4, { isReclaimable: true, bornMs: 2_000_000_000_000 }),
);

function buildSettledPlan(servers: readonly RegisteredServer[] = started) {
    const clock = new ManualClock();
    const plan = new OrderPlan(clock);
    plan.planOrders(rule, servers);
    clock.advance(2_600);
    return { clock, plan };
}

const sumCounts = (orders: readonly { count: number; reclaimable: boolean }[], kind: boolean): number =>
    orders.filter((order) => order.reclaimable === kind).reduce((total, { count }) => total + count, 0);

describe("OrderPlan", () => {
    it("orders only reclaimable servers before the deployment is complete", () => {
        const plan = new OrderPlan(new ManualClock());
        expect(plan.planOrders(rule, [])).toEqual([]);
        const orders = plan.planOrders(rule, started);
        expect(orders.length).toBeGreaterThan(0);
        expect(orders.every(({ reclaimable }) => reclaimable)).toBe(true);
    });

    it("orders reclaimable servers in all data centres and keeps standard ones until these are ready", () => {
        const { plan } = buildSettledPlan();
        const orders = plan.planOrders(rule, started);
        expect(sumCounts(orders, true)).toBeGreaterThanOrEqual(9);
        expect(
            new Set(orders.filter((order) => order.reclaimable).map((order) => order.count)).size,
        ).toBeLessThanOrEqual(2);
        expect(orders.filter((order) => !order.reclaimable)).toEqual([]);
        orders.forEach((order) => plan.recordAccepted(order));
        const later = plan.planOrders(rule, [...started, ...reclaimable]);
        expect(later.filter((order) => !order.reclaimable)).toHaveLength(3);
        expect(sumCounts(later, false)).toBeLessThanOrEqual(2);
    });

    it("returns standard servers some time after they are replaced", () => {
        const { clock, plan } = buildSettledPlan();
        plan.planOrders(rule, started).forEach((order) => plan.recordAccepted(order));
        plan.planOrders(rule, [...started, ...reclaimable]);
        clock.advance(5_001);
        expect(sumCounts(plan.planOrders(rule, [...started, ...reclaimable]), false)).toBeLessThanOrEqual(2);
    });

    it("orders standard servers at once when reclaimed ones have no replacement, and no reclaimable ones in that data centre", () => {
        const { clock, plan } = buildSettledPlan();
        plan.planOrders(rule, started).forEach((order) => plan.recordAccepted(order));
        plan.planOrders(rule, [...started, ...reclaimable]);
        clock.advance(5_001);
        plan.planOrders(rule, [...started, ...reclaimable]).forEach((order) => plan.recordAccepted(order));
        const noticed = reclaimable.map((server) =>
            server.dataCentre === "a" ? { ...server, state: "leaving" as const } : server,
        );
        for (const order of plan
            .planOrders(rule, noticed)
            .filter((desired) => desired.reclaimable && desired.dataCentre !== "a")) {
            plan.recordNoneAvailable(order, 2_000);
        }
        expect(sumCounts(plan.planOrders(rule, noticed), false)).toBeGreaterThan(2);
    });

    it("lists kinds lost without a notice only after the start time of a server", () => {
        const { clock, plan } = buildSettledPlan();
        plan.planOrders(rule, started).forEach((order) => plan.recordAccepted(order));
        const withoutB = reclaimable.filter(({ dataCentre }) => dataCentre !== "b");
        expect(plan.listLost(rule, [...started, ...withoutB])).toEqual([]);
        clock.advance(8_001);
        const lost = plan.listLost(rule, [...started, ...withoutB]);
        expect(lost).toEqual([expect.objectContaining({ dataCentre: "b", reclaimable: true })]);
    });

    it("platform without servers: asks neither for more nor for fewer of a kind of which none is ready", () => {
        const { clock, plan } = buildSettledPlan();
        plan.planOrders(rule, started).forEach((order) => plan.recordAccepted(order));
        const inB = { dataCentre: "b", reclaimable: true };
        plan.recordAccepted({ ...inB, count: 8 });
        plan.recordNoneAvailable({ ...inB, count: 8 }, 120_000);
        const withoutB = [...started, ...reclaimable.filter(({ dataCentre }) => dataCentre !== "b")];
        const isInB = (order: { dataCentre: string; reclaimable: boolean }): boolean =>
            order.dataCentre === "b" && order.reclaimable;
        plan.planOrders(rule, withoutB);
        clock.advance(31_000);
        expect(plan.planOrders(rule, withoutB).filter(isInB)).toEqual([]);
        const surplus = buildServers("b", 8, { isReclaimable: true, bornMs: 2_000_000_000_000 });
        expect(plan.planOrders(rule, [...withoutB, ...surplus]).filter(isInB)).toHaveLength(1);
    });

    it("release: servers that are replaced one after the other are no reclaim notice", () => {
        const { clock, plan } = buildSettledPlan();
        plan.planOrders(rule, started).forEach((order) => plan.recordAccepted(order));
        plan.planOrders(rule, [...started, ...reclaimable]);
        clock.advance(5_001);
        plan.planOrders(rule, [...started, ...reclaimable]).forEach((order) => plan.recordAccepted(order));
        const standard = started.slice(0, 2);
        const released = reclaimable.map((server) =>
            server.id.includes("-0-") ? { ...server, state: "leaving" as const } : server,
        );
        const orders = plan.planOrders(rule, [...standard, ...released]);
        // Beside the planned ones, standard servers are kept only in place of those that are being replaced.
        const replaced = released.filter(({ state }) => state === "leaving").length;
        expect(sumCounts(orders, false)).toBeLessThanOrEqual(standard.length + replaced);
    });

    it("change of holders while standard servers replace reclaimed ones: keeps the number that is needed", () => {
        const { plan } = buildSettledPlan();
        const baseline = plan.readBaseline();
        const successor = new OrderPlan(new ManualClock());
        const doubled = ["a", "b", "c"].flatMap((dataCentre) => [
            { dataCentre, reclaimable: true, count: 4, baseline },
            { dataCentre, reclaimable: false, count: 4, baseline },
        ]);
        successor.recordIntents(doubled);
        expect(successor.readBaseline()).toBe(started.length);
    });

    it("stays within the limits of a data centre", () => {
        const clock = new ManualClock();
        const plan = new OrderPlan(clock);
        const narrow = { ...rule, maximum: 3 };
        plan.planOrders(narrow, started);
        clock.advance(2_600);
        const orders = plan.planOrders(narrow, started);
        for (const dataCentre of ["a", "b", "c"]) {
            const findCount = (reclaimable: boolean) =>
                orders.find((order) => order.dataCentre === dataCentre && order.reclaimable === reclaimable)
                    ?.count;
            // Without an order, the three servers that the deployment began with stay.
            const total = (findCount(false) ?? 3) + (findCount(true) ?? 0);
            expect(total).toBeGreaterThanOrEqual(1);
            expect(total).toBeLessThanOrEqual(3);
        }
    });

    it("counts servers that ran before the first order even when they register later", () => {
        const { clock, plan } = buildSettledPlan(started.slice(0, 2));
        plan.planOrders(rule, started.slice(0, 2)).forEach((order) => plan.recordAccepted(order));
        clock.advance(1_000);
        const orders = plan.planOrders(rule, started);
        expect(sumCounts(orders, true)).toBeGreaterThanOrEqual(9);
    });

    it("returns no server before its replacement is ready, even if few servers had registered", () => {
        const { plan } = buildSettledPlan(started.slice(0, 2));
        plan.planOrders(rule, started.slice(0, 2));
        const orders = plan.planOrders(rule, started);
        const lowered = orders.filter((order) => !order.reclaimable && order.count < 3);
        expect(lowered).toEqual([]);
    });

    // Guards against orders for a data centre that gets no requests, and against servers there that count as capacity.
    it("replaces the servers of an evacuated data centre elsewhere and orders nothing there", () => {
        const { clock, plan } = buildSettledPlan();
        const servers = [...started, ...reclaimable];
        const before = plan.planOrders(rule, started);
        before.forEach((order) => plan.recordAccepted(order));
        const evacuated = new Set(["b"]);
        const during = plan.planOrders(rule, servers, evacuated);
        const sumElsewhere = (orders: typeof during) =>
            orders.filter(({ dataCentre }) => dataCentre !== "b").reduce((sum, { count }) => sum + count, 0);
        expect(during.every(({ dataCentre }) => dataCentre !== "b")).toBe(true);
        expect(sumElsewhere(during)).toBeGreaterThan(sumElsewhere(before));
        expect(sumElsewhere(during)).toBeGreaterThanOrEqual(started.length);
        clock.advance(60_000);
        const standing = servers.filter(({ dataCentre }) => dataCentre !== "b");
        expect(plan.listLost(rule, standing, evacuated).some(({ dataCentre }) => dataCentre === "b")).toBe(
            false,
        );
    });
});
