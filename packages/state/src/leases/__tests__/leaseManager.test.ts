import fc from "fast-check";
import { afterEach, describe, expect, inject, it, vi } from "vitest";
import type { TableService } from "@pimentocleat/services";
import { defaultLeaseTiming } from "@pimentocleat/policy";
import { HeldLease } from "../heldLease.js";
import { leaseTable } from "../leaseRecord.js";
import { nodeCount, runLeaseStep, stepArbitrary, type LeaseStep } from "./leaseSteps.js";
import { LeaseSimulation, type LeaseSimulationOptions } from "./leaseSimulation.js";

const seed = 20_261_204;
const lease = "duty";
const rates = [0.9, 1, 1.1];

/** Throws if two hosts hold a valid lease at one moment, or if a fencing number goes back. */
async function checkHistory(
    steps: readonly LeaseStep[],
    options: Partial<LeaseSimulationOptions>,
): Promise<void> {
    const world = new LeaseSimulation({ nodeCount, leases: [lease], rates, ...options });
    let highest = 0;
    const check = (): void => {
        expect(world.listValidHolders(lease).length, "valid holders").toBeLessThanOrEqual(1);
        for (const node of world.allNodes) {
            const held = node.manager.findHeldLease(lease);
            if (held?.isValid()) {
                expect(held.fencingNumber, "fencing number").toBeGreaterThanOrEqual(highest);
                highest = held.fencingNumber;
            }
        }
    };
    for (const step of steps) {
        await runLeaseStep(world, step, check);
    }
    await world.recoverAll(30_000, check);
    expect(world.listValidHolders(lease), "holder after calm").toHaveLength(1);
}

function withoutConditions(service: TableService): TableService {
    return {
        readRow: (table, key) => service.readRow(table, key),
        scanRows: (table, options) => service.scanRows(table, options),
        commitTransaction: ({ writes }) => service.commitTransaction({ conditions: [], writes }),
    };
}

/** Counts the validity from the moment at which a write is known, not from before it was sent. */
function countFromAnswer(): void {
    const confirm = HeldLease.prototype.recordWrite;
    vi.spyOn(HeldLease.prototype, "recordWrite").mockImplementation(function (
        this: HeldLease,
        token: string,
        version: number,
    ) {
        if (token !== "") {
            this.startRenewal(token);
        }
        return confirm.call(this, token, version);
    });
}

const mutants: readonly {
    readonly name: string;
    readonly options?: Partial<LeaseSimulationOptions>;
    readonly prepare?: () => void;
}[] = [
    { name: "has no margin", options: { timing: { ...defaultLeaseTiming, marginMs: 0 } } },
    { name: "acquires without a condition", options: { wrapTable: withoutConditions } },
    { name: "counts its validity from the answer", prepare: countFromAnswer },
];

const steps = fc.array(stepArbitrary, { minLength: 3, maxLength: 25 });

describe("LeaseManager", () => {
    afterEach(() => vi.restoreAllMocks());

    it("never has two valid holders under random faults", async () => {
        const property = fc.asyncProperty(steps, (history) => checkHistory(history, {}));
        await fc.assert(property, { seed, numRuns: 150, ...inject("fuzz") });
    });

    it.each(mutants)("catches a manager that $name", async ({ options, prepare }) => {
        prepare?.();
        const property = fc.asyncProperty(steps, (history) => checkHistory(history, options ?? {}));
        const details = await fc.check(property, { seed, numRuns: 150, endOnFailure: true });
        expect(String(details.errorInstance)).toContain("valid holders");
    });

    it.each([
        { name: "keeps its holder in calm", durationMs: 60_000, stop: false, fencingNumber: 1 },
        { name: "passes on after a planned stop", durationMs: 12_000, stop: true, fencingNumber: 2 },
    ])("$name", async ({ durationMs, stop, fencingNumber }) => {
        const world = new LeaseSimulation({ nodeCount, leases: [lease] });
        await world.advance(5_000);
        const holder = world.nodes.findIndex((node) => node.manager.findHeldLease(lease) !== undefined);
        if (stop) {
            world.nodes[holder]!.stopping.abort();
            void world.nodes[holder]!.manager.releaseAll();
        }
        await world.advance(durationMs);
        const holders = world.allNodes
            .map((node) => node.manager.findHeldLease(lease))
            .filter((held) => held?.isValid());
        expect(holders.map((held) => held?.fencingNumber)).toEqual([fencingNumber]);
    });

    it.each([
        { name: "crash", stop: false, boundMs: 22_000 },
        { name: "planned stop", stop: true, boundMs: 12_000 },
    ])("a $name leaves a lease without holder for a bounded time", async ({ stop, boundMs }) => {
        const gaps: number[] = [];
        for (let offsetMs = 0; offsetMs < 3_000; offsetMs += 200) {
            const world = new LeaseSimulation({ nodeCount: 9, leases: [lease], wireBoundMs: 2_000 });
            await world.advance(10_000 + offsetMs);
            const index = world.nodes.findIndex((node) => node.manager.findHeldLease(lease) !== undefined);
            const [gone] = world.nodes.splice(index, 1);
            gone!.stopping.abort();
            if (stop) {
                void gone!.manager.releaseAll();
            } else {
                gone!.host.freeze();
            }
            const startMs = world.clock.monotonicMs();
            while (!world.nodes.some((node) => node.manager.findHeldLease(lease)?.isValid())) {
                await world.advance(100);
            }
            gaps.push(world.clock.monotonicMs() - startMs);
        }
        console.info(
            `without holder after a ${stop ? "planned stop" : "crash"}: ${String(gaps.sort((a, b) => a - b))} ms`,
        );
        expect(Math.max(...gaps)).toBeLessThanOrEqual(boundMs);
    });

    it("renews under the same number after an outage that nobody used", async () => {
        const world = new LeaseSimulation({ nodeCount: 1, leases: [lease] });
        await world.advance(1_000);
        world.memory.setFaultPlan(() => "unavailable");
        await world.advance(60_000);
        expect(world.listValidHolders(lease)).toEqual([]);
        await world.recoverAll(4_000);
        expect(world.nodes[0]!.manager.findHeldLease(lease)?.fencingNumber).toBe(1);
        expect(world.listValidHolders(lease)).toHaveLength(1);
    });

    it("a transaction of an earlier holder fails after a takeover", async () => {
        const world = new LeaseSimulation({ nodeCount: 2, leases: [lease] });
        await world.advance(5_000);
        const index = world.nodes.findIndex((node) => node.manager.findHeldLease(lease) !== undefined);
        const condition = world.nodes[index]!.manager.findHeldLease(lease)!.buildCondition();
        const write = { table: leaseTable, key: "other", value: 1 };
        const transaction = { conditions: [condition], writes: [write] };
        expect((await world.memory.commitTransaction(transaction)).outcome).toBe("committed");
        world.nodes[index]!.host.freeze();
        await world.advance(30_000);
        expect(world.listValidHolders(lease)).toHaveLength(1);
        expect((await world.memory.commitTransaction(transaction)).outcome).toBe("conflict");
    });
});
