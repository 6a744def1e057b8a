import { describe, expect, it } from "vitest";
import type { TableCopy } from "@pimentocleat/services";
import { findHolderViolation, type HolderAct } from "../../usage/__tests__/reportOracle.js";
import {
    usersLeaseMs,
    usersLeaseTiming,
    usersPreferenceDelayMs,
    usersStartDelayMs,
    usersWatchIntervalMs,
} from "../../usage/__tests__/usageDurations.js";
import { leaseTable } from "../leaseRecord.js";
import { LeaseSimulation } from "./leaseSimulation.js";

const lease = "duty";
/** Keeps the table of leases from being empty in a copy. */
const otherLease = "other duty";
const wireBoundMs = 700;
const receiver = { checksFencing: false, wireBoundMs };
const stepMs = 100;
/** Longer than a lease and the pause before the first order under the next one, in milliseconds. */
const handoverMs = 15_000;
const emptyCopy: TableCopy = { tables: new Map(), lastCounter: 0 };

/** Nodes with the durations of the users' platform on a network without faults. */
class EraSimulation {
    readonly leases: LeaseSimulation;
    private readonly acts: HolderAct[] = [];

    constructor(nodeCount: number, leases: readonly string[] = [lease]) {
        this.leases = new LeaseSimulation({
            nodeCount,
            leases,
            timing: usersLeaseTiming,
            wireBoundMs,
            startDelayMs: usersStartDelayMs,
            watchIntervalMs: usersWatchIntervalMs,
            preferenceDelayMs: usersPreferenceDelayMs,
            hasNoPreference: true,
            hasEras: true,
            network: { seed: 1, lossShare: 0, maximumDelayMs: 0, lateShare: 0, maximumLateMs: 0 },
        });
    }

    /** Lets time pass; each node that may send an order in a step does so. */
    async advance(durationMs: number): Promise<void> {
        const { allNodes, clock } = this.leases;
        await this.leases.advance(durationMs, () => {
            for (const { name: sender, host, manager } of allNodes) {
                const held = host.isFrozen ? undefined : manager.findHeldLease(lease);
                if (held?.isReadyFor(receiver) === true) {
                    const { fencingNumber } = held;
                    this.acts.push({ sender, fencingNumber, atMs: clock.monotonicMs() });
                }
            }
        });
    }

    /** Lets time pass until a node other than the given one may act, and returns its index. */
    async advanceToHolder(otherThan = -1): Promise<number> {
        for (;;) {
            const index = this.leases.nodes.findIndex(
                ({ manager, host }, candidate) =>
                    candidate !== otherThan &&
                    !host.isFrozen &&
                    manager.findHeldLease(lease)?.isReadyFor(receiver) === true,
            );
            if (index >= 0) {
                return index;
            }
            await this.advance(stepMs);
        }
    }

    findViolation(): string | undefined {
        return findHolderViolation(this.acts, { leaseMs: usersLeaseMs, wireBoundMs });
    }
}

describe("a lease on a store that comes back from a copy without any lease", () => {
    // Guards against an era that is seen only from rows, of which there are none.
    it("is not taken while its former holder may act", async () => {
        const simulation = new EraSimulation(3);
        const holder = await simulation.advanceToHolder();
        await simulation.advance(handoverMs);
        simulation.leases.cutOff.add(holder);
        simulation.leases.startEra(emptyCopy);
        await simulation.advance(handoverMs);
        expect(simulation.findViolation()).toBeUndefined();
    });

    // Guards against fencing numbers of the era that was seen last instead of the current one.
    it("does not get the fencing number of its former holder", async () => {
        const simulation = new EraSimulation(3);
        const first = await simulation.advanceToHolder();
        simulation.leases.nodes[first]!.host.freeze();
        const second = await simulation.advanceToHolder(first);
        await simulation.advance(handoverMs);
        simulation.leases.nodes[second]!.host.freeze();
        simulation.leases.startEra(emptyCopy);
        await simulation.advance(handoverMs);
        expect(simulation.findViolation()).toBeUndefined();
    });

    // Guards against fencing numbers that begin anew with nodes that know no era yet.
    it("does not get the fencing number of a former holder from nodes that start together", async () => {
        const simulation = new EraSimulation(3);
        const holder = await simulation.advanceToHolder();
        await simulation.advance(handoverMs);
        simulation.leases.startEra(emptyCopy);
        [0, 1, 2].forEach((index) => simulation.leases.killNode(index));
        simulation.leases.cutOff.add(holder);
        await simulation.advance(handoverMs);
        expect(simulation.findViolation()).toBeUndefined();
    });
});

describe("the holder of a lease", () => {
    // Guards against orders between the first answer of a new era and the next scan of the leases.
    it("may not act from the first answer of a new era on", async () => {
        const simulation = new EraSimulation(1);
        const { leases } = simulation;
        const holder = leases.nodes[await simulation.advanceToHolder()]!;
        const held = holder.manager.findHeldLease(lease)!;
        leases.startEra(leases.memory.copyTables());
        expect(held.isValid()).toBe(true);
        await holder.table.readRow("any table", "any key");
        expect([held.isValid(), held.isEraOver()]).toEqual([false, true]);
    });
});

describe("a node that knows no earlier era", () => {
    // Guards against a node that takes the new era for its first one and so does not wait for former holders.
    it("does not take a lease that the copy calls released while its former holder may act", async () => {
        const simulation = new EraSimulation(2, [lease, otherLease]);
        const { leases } = simulation;
        const first = await simulation.advanceToHolder();
        leases.nodes[first]!.stopping.abort();
        void leases.nodes[first]!.manager.releaseAll();
        const copyWhenReleased = async (): Promise<TableCopy> => {
            for (;;) {
                const copy = leases.memory.copyTables();
                const row = copy.tables.get(leaseTable)?.get(`lease/${lease}`);
                if ((row?.value as { released: boolean }).released) {
                    return copy;
                }
                await simulation.advance(stepMs);
            }
        };
        const copy = await copyWhenReleased();
        const second = await simulation.advanceToHolder(first);
        leases.cutOff.add(first);
        leases.killNode(first);
        await simulation.advance(2 * usersStartDelayMs);
        leases.cutOff.delete(first);
        leases.cutOff.add(second);
        leases.startEra(copy);
        await simulation.advance(handoverMs);
        expect(simulation.findViolation()).toBeUndefined();
    });
});

describe("a write that is performed in a later era than it was built in", () => {
    // Guards against two holders of one fencing number: both scanned the same rows, in different eras both commit.
    it("does not acquire a lease under the fencing number of a former holder", async () => {
        const simulation = new EraSimulation(2);
        const [, late] = simulation.leases.nodes;
        late!.table.onPause = (point, call): void => {
            if (point === "beforeCall" && call === "commit") {
                late!.host.freeze();
            }
        };
        await simulation.advanceToHolder();
        await simulation.advance(5 * stepMs);
        simulation.leases.startEra(emptyCopy);
        simulation.leases.thaw(1);
        await simulation.advance(handoverMs);
        expect(simulation.findViolation()).toBeUndefined();
    });

    // Guards against a version that was given out again and so meets the condition of a former holder by chance.
    it("has no effect under the fence of a former holder", async () => {
        const simulation = new EraSimulation(3);
        const { leases } = simulation;
        const first = await simulation.advanceToHolder();
        leases.nodes[first]!.host.freeze();
        const waitForExpiryMs = usersLeaseTiming.durationMs + usersLeaseTiming.marginMs - stepMs;
        await simulation.advance(waitForExpiryMs);
        const copy = leases.memory.copyTables();
        const second = await simulation.advanceToHolder(first);
        const former = leases.nodes[second]!;
        const condition = former.manager.findHeldLease(lease)!.buildCondition();
        former.host.freeze();
        leases.startEra(copy);
        await simulation.advanceToHolder(second);
        former.host.thaw();
        const write = { table: leaseTable, key: "written under the former fence", value: 1 };
        await former.table
            .commitTransaction({ conditions: [condition], writes: [write] })
            .catch(() => undefined);
        expect(await leases.memory.readRow(write.table, write.key)).toBeUndefined();
    });
});
