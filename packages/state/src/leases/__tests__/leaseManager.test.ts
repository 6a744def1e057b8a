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

/** Throws if two hosts hold a valid lease at the same time, or if a fencing number decreases. */
async function checkHistory(
    steps: readonly LeaseStep[],
    options: Partial<LeaseSimulationOptions>,
): Promise<void> {
    const simulation = new LeaseSimulation({ nodeCount, leases: [lease], rates, ...options });
    let highest = 0;
    const check = (): void => {
        expect(simulation.listValidHolders(lease).length, "valid holders").toBeLessThanOrEqual(1);
        for (const node of simulation.allNodes) {
            const held = node.manager.findHeldLease(lease);
            if (held?.isValid()) {
                expect(held.fencingNumber, "fencing number").toBeGreaterThanOrEqual(highest);
                highest = held.fencingNumber;
            }
        }
    };
    for (const step of steps) {
        await runLeaseStep(simulation, step, check);
    }
    await simulation.recoverAll(30_000, check);
    expect(simulation.listValidHolders(lease), "holder after recovery").toHaveLength(1);
}

function withoutConditions(service: TableService): TableService {
    return {
        readRow: (table, key) => service.readRow(table, key),
        scanRows: (table, options) => service.scanRows(table, options),
        commitTransaction: ({ writes }) => service.commitTransaction({ conditions: [], writes }),
    };
}

/** Starts the validity when the result of a write is known, not when the write is sent. */
function startValidityAtResponse(): void {
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
    { name: "starts its validity at the response", prepare: startValidityAtResponse },
];

const steps = fc.array(stepArbitrary, { minLength: 3, maxLength: 25 });

describe("LeaseManager", () => {
    afterEach(() => vi.restoreAllMocks());

    it("never has two valid holders under random faults", async () => {
        const property = fc.asyncProperty(steps, (history) => checkHistory(history, {}));
        await fc.assert(property, { seed, numRuns: 150, ...inject("fuzz") });
    });

    it.each(mutants)("detects a manager that $name", async ({ options, prepare }) => {
        prepare?.();
        const property = fc.asyncProperty(steps, (history) => checkHistory(history, options ?? {}));
        const details = await fc.check(property, { seed, numRuns: 150, endOnFailure: true });
        expect(String(details.errorInstance)).toContain("valid holders");
    });

    it.each([
        {
            name: "keeps its holder while there are no faults",
            durationMs: 60_000,
            stop: false,
            fencingNumber: 1,
        },
        { name: "gets a new holder after a graceful stop", durationMs: 12_000, stop: true, fencingNumber: 2 },
    ])("$name", async ({ durationMs, stop, fencingNumber }) => {
        const simulation = new LeaseSimulation({ nodeCount, leases: [lease] });
        await simulation.advance(5_000);
        const holder = simulation.nodes.findIndex((node) => node.manager.findHeldLease(lease) !== undefined);
        if (stop) {
            simulation.nodes[holder]!.stopping.abort();
            void simulation.nodes[holder]!.manager.releaseAll();
        }
        await simulation.advance(durationMs);
        const holders = simulation.allNodes
            .map((node) => node.manager.findHeldLease(lease))
            .filter((held) => held?.isValid());
        expect(holders.map((held) => held?.fencingNumber)).toEqual([fencingNumber]);
    });

    it.each([
        { name: "crash", stop: false, boundMs: 22_000 },
        { name: "graceful stop", stop: true, boundMs: 12_000 },
    ])("a $name leaves a lease without a holder for a limited time", async ({ stop, boundMs }) => {
        const gaps: number[] = [];
        for (let offsetMs = 0; offsetMs < 3_000; offsetMs += 200) {
            const simulation = new LeaseSimulation({ nodeCount: 9, leases: [lease], wireBoundMs: 2_000 });
            await simulation.advance(10_000 + offsetMs);
            const index = simulation.nodes.findIndex(
                (node) => node.manager.findHeldLease(lease) !== undefined,
            );
            const [previous] = simulation.nodes.splice(index, 1);
            previous!.stopping.abort();
            if (stop) {
                void previous!.manager.releaseAll();
            } else {
                previous!.host.freeze();
            }
            const startMs = simulation.clock.monotonicMs();
            while (!simulation.nodes.some((node) => node.manager.findHeldLease(lease)?.isValid())) {
                await simulation.advance(100);
            }
            gaps.push(simulation.clock.monotonicMs() - startMs);
        }
        console.info(
            `without holder after a ${stop ? "graceful stop" : "crash"}: ${String(gaps.sort((a, b) => a - b))} ms`,
        );
        expect(Math.max(...gaps)).toBeLessThanOrEqual(boundMs);
    });

    it("renews with the same fencing number after an outage without a takeover", async () => {
        const simulation = new LeaseSimulation({ nodeCount: 1, leases: [lease] });
        await simulation.advance(1_000);
        simulation.memory.setFaultPlan(() => "unavailable");
        await simulation.advance(60_000);
        expect(simulation.listValidHolders(lease)).toEqual([]);
        await simulation.recoverAll(4_000);
        expect(simulation.nodes[0]!.manager.findHeldLease(lease)?.fencingNumber).toBe(1);
        expect(simulation.listValidHolders(lease)).toHaveLength(1);
    });

    it("rejects a transaction of an earlier holder after a takeover", async () => {
        const simulation = new LeaseSimulation({ nodeCount: 2, leases: [lease] });
        await simulation.advance(5_000);
        const index = simulation.nodes.findIndex((node) => node.manager.findHeldLease(lease) !== undefined);
        const condition = simulation.nodes[index]!.manager.findHeldLease(lease)!.buildCondition();
        const write = { table: leaseTable, key: "other", value: 1 };
        const transaction = { conditions: [condition], writes: [write] };
        expect((await simulation.memory.commitTransaction(transaction)).outcome).toBe("committed");
        simulation.nodes[index]!.host.freeze();
        await simulation.advance(30_000);
        expect(simulation.listValidHolders(lease)).toHaveLength(1);
        expect((await simulation.memory.commitTransaction(transaction)).outcome).toBe("conflict");
    });
});
