import fc from "fast-check";
import { describe, expect, inject, it } from "vitest";
import { runLeaseStep, stepArbitrary, type LeaseStep } from "../../leases/__tests__/leaseSteps.js";
import type { LeaseHandle } from "../../leases/heldLease.js";
import { orderTable } from "../orderRecord.js";
import {
    orderLease,
    OrderSimulation,
    type OrderSimulationOptions,
    type WireFault,
} from "./orderSimulation.js";

const seed = 20_261_205;
const wireFaults: readonly WireFault[] = ["none", "none", "slow", "lostOrder", "lostAnswer"];

/** Throws if an order of an earlier holder, or an older wanted state, took effect after a newer one. */
function checkAcceptedOrders(world: OrderSimulation): void {
    const { accepted } = world.receiver;
    accepted.slice(1).forEach((order, index) => {
        const previous = accepted[index]!;
        expect(order.fencingNumber, "holders interleaved").toBeGreaterThanOrEqual(previous.fencingNumber);
        expect(order.generation, "older state").toBeGreaterThanOrEqual(previous.generation);
        if (order.fencingNumber === previous.fencingNumber) {
            expect(order.sender, "two senders of one number").toBe(previous.sender);
        }
    });
}

interface OrderStep {
    readonly fault: LeaseStep;
    readonly desiredCount: number;
    readonly wire: readonly WireFault[];
    readonly freezes: boolean;
}

async function checkHistory(steps: readonly OrderStep[], options: OrderSimulationOptions): Promise<void> {
    const world = new OrderSimulation({ rates: [0.9, 1, 1.1], ...options });
    for (const step of steps) {
        let sends = 0;
        world.desiredCount = step.desiredCount;
        world.receiver.planWire = (): WireFault => step.wire[(sends += 1) % step.wire.length]!;
        world.freezePoint = step.freezes ? "afterSend" : "none";
        await runLeaseStep(world.leases, step.fault, () => checkAcceptedOrders(world));
    }
    world.receiver.planWire = (): WireFault => "none";
    world.freezePoint = "none";
    await world.leases.recoverAll(40_000, () => checkAcceptedOrders(world));
    expect(world.receiver.accepted.at(-1)?.count, "wanted state after calm").toBe(world.desiredCount);
}

const stepsArbitrary = fc.array(
    fc.record({
        fault: stepArbitrary,
        desiredCount: fc.integer({ min: 1, max: 5 }),
        wire: fc.array(fc.constantFrom(...wireFaults), { minLength: 1, maxLength: 5 }),
        freezes: fc.boolean(),
    }),
    { minLength: 3, maxLength: 20 },
);

function createProperty(options: OrderSimulationOptions): fc.IAsyncProperty<[OrderStep[]]> {
    return fc.asyncProperty(stepsArbitrary, (steps) => checkHistory(steps, options));
}

function withoutCheck(lease: LeaseHandle): LeaseHandle {
    return {
        name: lease.name,
        fencingNumber: lease.fencingNumber,
        isValid: () => true,
        isReadyFor: () => true,
        buildCondition: () => lease.buildCondition(),
    };
}

function withoutFence(lease: LeaseHandle): LeaseHandle {
    return {
        name: lease.name,
        fencingNumber: lease.fencingNumber,
        isValid: () => lease.isValid(),
        isReadyFor: (receiver) => lease.isReadyFor(receiver),
        buildCondition: () => ({ table: orderTable, key: "absent", version: 0 }),
    };
}

describe("OrderSender under random faults", () => {
    it.each([{ checksFencing: true }, { checksFencing: false }])(
        "keeps holders apart: %o",
        async (options) => {
            await fc.assert(createProperty(options), { seed, numRuns: 100, ...inject("fuzz") });
        },
    );

    it("catches a sender that does not check its lease", async () => {
        const property = createProperty({ checksFencing: false, wrapLease: withoutCheck });
        const details = await fc.check(property, { seed, numRuns: 100, endOnFailure: true });
        expect(String(details.errorInstance)).toMatch(/holders interleaved|older state/);
    });
});

/** Lets a holder send a slow order some time after its intent was stored; tells whether it arrived too late. */
async function sendAfterDelay(believedChecksFencing: boolean, delayMs: number): Promise<boolean> {
    const world = new OrderSimulation({
        checksFencing: false,
        assumedChecksFencing: believedChecksFencing,
        wireBoundMs: 15_000,
    });
    const { leases, receiver } = world;
    await leases.advance(30_000);
    const holder = leases.nodes.findIndex((node) => node.manager.findHeldLease(orderLease) !== undefined);
    const { host, table } = leases.nodes[holder]!;
    table.onPause = (point, call): void => {
        if (point === "afterCall" && call === "commit" && world.desiredCount === 2) {
            host.freeze();
        }
    };
    world.desiredCount = 2;
    await leases.advance(1_000);
    await leases.advance(delayMs);
    receiver.planWire = (): WireFault => "slow";
    world.freezePoint = "afterSend";
    // The store is out for this moment, so that the holder sends but does not renew.
    leases.memory.setFaultPlan(() => "unavailable");
    host.thaw();
    await leases.advance(100);
    host.freeze();
    leases.memory.setFaultPlan(() => "none");
    receiver.planWire = (): WireFault => "none";
    world.desiredCount = 3;
    await leases.advance(60_000);
    const numbers = receiver.accepted.map((order) => order.fencingNumber);
    expect(numbers).toContain(2);
    return numbers.lastIndexOf(1) > numbers.indexOf(2);
}

describe("a holder frozen around its send and thawed after its lease lapsed", () => {
    it.each([
        { point: "beforeCheck", checksFencing: true, asks: true, stale: 0 },
        { point: "beforeCheck", checksFencing: false, asks: true, stale: 0 },
        { point: "betweenCheckAndSend", checksFencing: true, asks: true, stale: 0 },
        { point: "betweenCheckAndSend", checksFencing: false, asks: true, stale: 0 },
        { point: "afterSend", checksFencing: true, asks: true, stale: 0 },
        { point: "afterSend", checksFencing: false, asks: true, stale: 0 },
        // What stays possible: a freeze between the check of the first byte and the system call.
        { point: "betweenCheckAndSend", checksFencing: true, asks: false, stale: 0 },
        { point: "betweenCheckAndSend", checksFencing: false, asks: false, stale: 1 },
    ] as const)("$point, receiver checks: $checksFencing, asks at the first byte: $asks", async (row) => {
        const world = new OrderSimulation({ checksFencing: row.checksFencing });
        world.checksAtFirstByte = row.asks;
        const isHolder = (index: number): boolean =>
            world.leases.nodes[index]!.manager.findHeldLease(orderLease) !== undefined;
        await world.leases.advance(12_000);
        const holder = [0, 1, 2].findIndex(isHolder);
        const before = world.receiver.accepted.length;
        expect(before).toBe(1);
        world.desiredCount = 2;
        if (row.point === "beforeCheck") {
            // Frozen after the intent was committed and before its answer is handled.
            world.leases.nodes[holder]!.table.onPause = (point, call): void => {
                if (point === "afterCall" && call === "commit") {
                    world.leases.nodes[holder]!.host.freeze();
                }
            };
        } else {
            world.freezePoint = row.point;
        }
        await world.leases.advance(2_000);
        expect(world.leases.nodes[holder]!.host.isFrozen).toBe(true);
        world.desiredCount = 3;
        await world.leases.advance(30_000);
        expect(world.receiver.accepted.at(-1)).toMatchObject({ count: 3, fencingNumber: 2 });
        world.leases.thaw(holder);
        await world.leases.advance(5_000);
        const first = world.receiver.accepted.findIndex((order) => order.fencingNumber === 2);
        const stale = world.receiver.accepted.slice(first).filter((order) => order.fencingNumber === 1);
        expect(stale).toHaveLength(row.stale);
    });

    it.each([
        { name: "waits for", believedChecksFencing: false, interleaved: false },
        { name: "mutant: does not wait for", believedChecksFencing: true, interleaved: true },
    ])("a new holder $name an order that left just before the lapse", async (row) => {
        const delays = [...Array(40).keys()].map((index) => index * 200);
        const found: boolean[] = [];
        for (const delayMs of delays) {
            found.push(await sendAfterDelay(row.believedChecksFencing, delayMs));
        }
        expect(found.includes(true)).toBe(row.interleaved);
    });

    it("without the fence in its transaction an earlier holder changes the intents", async () => {
        const generations: number[] = [];
        for (const wrapLease of [undefined, withoutFence]) {
            const world = new OrderSimulation({ checksFencing: true, wrapLease });
            await world.leases.advance(12_000);
            const { memory, nodes } = world.leases;
            const holder = nodes.findIndex((node) => node.manager.findHeldLease(orderLease) !== undefined);
            // The holder is frozen just before its transaction is sent.
            nodes[holder]!.table.onPause = (point, call): void => {
                if (point === "beforeCall" && call === "commit" && world.desiredCount === 2) {
                    nodes[holder]!.host.freeze();
                }
            };
            world.desiredCount = 2;
            await world.leases.advance(500);
            world.desiredCount = 1;
            await world.leases.advance(30_000);
            world.leases.thaw(holder);
            await world.leases.advance(200);
            const [row] = await memory.scanRows(orderTable);
            generations.push((row!.value as { generation: number }).generation);
        }
        expect(generations).toEqual([1, 2]);
    });
});
