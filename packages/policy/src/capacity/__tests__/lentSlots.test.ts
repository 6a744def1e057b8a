import { ManualClock } from "@pimentocleat/types";
import fc from "fast-check";
import { describe, expect, inject, test } from "vitest";
import type { PoolSummary } from "../../scheduling/poolScheduler.js";
import { computeHomeSlots } from "../homeSlots.js";
import { LentSlotLedger } from "../lentSlotLedger.js";
import type { LentSlotsOptions } from "../lentSlots.js";
import { LentSlots } from "../lentSlots.js";

const servers = [
    { name: "alpha", slots: 4 },
    { name: "beta", slots: 4 },
];
const total = 8;

/** Nodes that share two servers; a summary may be late or lost. */
class SlotModel {
    readonly clock = new ManualClock();
    readonly nodes: LentSlots[];
    readonly waiting: number[];
    readonly running: { node: number; server: string; requestId: string }[] = [];
    private readonly sequences: number[];
    private next = 0;

    constructor(
        count: number,
        private readonly create: (options: LentSlotsOptions) => LentSlots = (options) =>
            new LentSlots(options),
    ) {
        this.nodes = Array.from(Array(count).keys(), (index) => this.buildNode(index));
        this.waiting = this.nodes.map(() => 0);
        this.sequences = this.nodes.map(() => 0);
        [...this.nodes.keys()].forEach((index) => this.spread(index, () => true));
        this.nodes.forEach((node) => node.updateServers(servers));
    }

    /** Lets a node describe itself to the nodes that `reaches` names. */
    spread(index: number, reaches: (to: number) => boolean): void {
        const demand = this.waiting[index]
            ? { tier: 1, latestStartMs: 0, requestClass: "urgent", served: 0, answerTokens: 1 }
            : undefined;
        const sequence = (this.sequences[index] ?? 0) + 1;
        this.sequences[index] = sequence;
        const summary: PoolSummary = {
            pool: "pool",
            node: `node-${index}`,
            sequence,
            waiting: { urgent: this.waiting[index] ?? 0 },
            running: {},
            demand: {},
            servedTokens: {},
            stragglers: [],
            ...this.nodes[index]?.summarizeSlots(demand, false, sequence),
        };
        this.nodes.forEach((node, to) => {
            if (to !== index && reaches(to)) {
                node.recordPeerSummary(summary);
            }
        });
    }

    startAll(index: number): void {
        const node = this.nodes[index];
        for (const { name } of servers) {
            while ((this.waiting[index] ?? 0) > 0 && (node?.countFree(name, 1) ?? 0) > 0) {
                this.next += 1;
                const requestId = `request-${this.next}`;
                node?.recordStart(requestId, name, 1);
                this.running.push({ node: index, server: name, requestId });
                this.waiting[index] = (this.waiting[index] ?? 0) - 1;
            }
        }
    }

    finish(index: number): void {
        const [ended] = this.running.splice(index % Math.max(1, this.running.length), 1);
        if (ended !== undefined) {
            this.nodes[ended.node]?.recordEnd(ended.requestId, ended.server);
        }
    }

    countMaximumRunning(): number {
        return Math.max(
            ...servers.map(({ name }) => this.running.filter(({ server }) => server === name).length),
        );
    }

    private buildNode(index: number): LentSlots {
        return this.create({ clock: this.clock, node: `node-${index}`, readTier: () => 1 });
    }
}

class UsageIgnoringOwner extends LentSlots {
    override recordPeerSummary(summary: PoolSummary): void {
        super.recordPeerSummary({ ...summary, borrowed: {} });
    }
}

class PrematureReclaimOwner extends LentSlots {
    override recordPeerSummary(summary: PoolSummary): void {
        const acknowledged = { "node-0": Infinity, "node-1": Infinity, "node-2": Infinity };
        super.recordPeerSummary({ ...summary, acknowledged });
    }
}

const steps = fc.array(
    fc.record({
        type: fc.constantFrom("offer", "start", "finish", "spread", "advance"),
        node: fc.nat(2),
        count: fc.nat(6),
        lost: fc.nat(3),
    }),
    { maxLength: 200 },
);

function buildOverrunProperty(create: (options: LentSlotsOptions) => LentSlots) {
    return fc.property(steps, (list) => {
        const model = new SlotModel(3, create);
        for (const { type, node, count, lost } of list) {
            if (type === "offer") {
                model.waiting[node] = (model.waiting[node] ?? 0) + count;
            } else if (type === "start") {
                model.startAll(node);
            } else if (type === "finish") {
                model.finish(count);
            } else if (type === "spread") {
                model.spread(node, (to) => to !== lost);
            } else {
                model.clock.advance(count * 20);
                [0, 1, 2].forEach((index) => model.spread(index, () => true));
            }
            expect(model.countMaximumRunning()).toBeLessThanOrEqual(4);
        }
    });
}

type Create = (options: LentSlotsOptions) => LentSlots;
const all = [0, 1, 2];

/** Lets node 0 get all slots on loan, though it starts nothing yet. */
function buildLentModel(create: Create): SlotModel {
    const model = new SlotModel(3, create);
    model.waiting[0] = total;
    for (let round = 0; round < 4; round += 1) {
        all.forEach((index) => model.spread(index, () => true));
        model.clock.advance(20);
    }
    return model;
}

const staleSummaryCases = [
    {
        name: "the owners want slots back that are in use",
        run: (create: Create): number => {
            const model = buildLentModel(create);
            model.startAll(0);
            model.waiting[1] = total;
            model.waiting[2] = total;
            for (let round = 0; round < 200; round += 1) {
                all.forEach((index) => model.spread(index, () => true));
                all.forEach((index) => model.startAll(index));
                model.clock.advance(20);
            }
            return model.countMaximumRunning();
        },
    },
    {
        name: "the borrower hasn't heard that the owners want slots back",
        run: (create: Create): number => {
            const model = buildLentModel(create);
            [1, 2].forEach((index) => {
                model.waiting[index] = total;
                model.spread(index, () => false);
            });
            model.spread(0, () => true);
            all.toReversed().forEach((index) => model.startAll(index));
            return model.countMaximumRunning();
        },
    },
];

describe("LentSlots", () => {
    test("never overruns a server with summaries that are late or lost for less than the limit", () => {
        fc.assert(
            buildOverrunProperty((options) => new LentSlots(options)),
            { seed: 11, numRuns: 300, ...inject("fuzz") },
        );
    });

    test.each(staleSummaryCases)("never overruns a server when $name", ({ run }) => {
        expect(run((options) => new LentSlots(options))).toBeLessThanOrEqual(4);
    });

    test.each([
        { name: "forgets what others still use", mutant: UsageIgnoringOwner, lateCase: staleSummaryCases[0] },
        {
            name: "takes slots back unacknowledged",
            mutant: PrematureReclaimOwner,
            lateCase: staleSummaryCases[1],
        },
    ])("the cases catch an owner that $name", ({ mutant, lateCase }) => {
        expect(lateCase?.run((options) => new mutant(options))).toBeGreaterThan(4);
    });

    test("lends idle slots to the node that waits", () => {
        const model = new SlotModel(3);
        model.waiting[0] = total;
        for (let round = 0; round < 6; round += 1) {
            [0, 1, 2].forEach((index) => model.spread(index, () => true));
            model.startAll(0);
            model.clock.advance(20);
        }
        expect(model.running.length).toBe(total);
    });

    test("deals a silent node's slots to the others after 2 s, and a node cut off takes none", () => {
        const model = new SlotModel(3);
        model.waiting[0] = total;
        for (let elapsedMs = 0; elapsedMs <= 2_200; elapsedMs += 200) {
            model.clock.advance(200);
            [0, 1].forEach((index) => model.spread(index, (to) => to !== 2));
            model.startAll(0);
        }
        expect(model.running.length).toBe(total);
        const home = servers.reduce((sum, { name }) => sum + (model.nodes[2]?.countFree(name, 1) ?? 0), 0);
        expect(home).toBeLessThanOrEqual(Math.ceil(total / 3));
    });

    test("gives every slot one owner, whoever is live", () => {
        const members = Array.from(Array(9).keys(), (index) => `node-${index}`);
        for (const live of [members, members.slice(1), members.slice(0, 5)]) {
            const homes = [...computeHomeSlots(servers, members, live).values()];
            const sum = homes.flatMap((home) => [...home.values()]).reduce((left, right) => left + right, 0);
            expect(sum).toBe(total);
        }
    });
});

describe("LendingBook", () => {
    test("counts a withdrawn slot as taken until it is acknowledged or its term ends", () => {
        const book = new LentSlotLedger();
        book.setSequence(1);
        book.setOffered("peer", "alpha", 2, 0);
        book.setSequence(2);
        book.withdrawOffers("peer", false, 10);
        expect(book.countTaken("alpha", 20)).toBe(2);
        book.recordAcknowledged("peer", 1);
        expect(book.countTaken("alpha", 20)).toBe(2);
        book.recordAcknowledged("peer", 2);
        expect(book.countTaken("alpha", 20)).toBe(0);
    });
});
