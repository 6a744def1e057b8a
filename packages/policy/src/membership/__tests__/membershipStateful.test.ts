import { ManualClock } from "@pimentocleat/types";
import fc from "fast-check";
import { describe, expect, inject, it } from "vitest";
import { createRandom } from "../../random/random.js";
import { MembershipState, type MemberIdentity, type MemberStatement } from "../member.js";
import { defaultMemberTableSettings, MemberTable } from "../memberTable.js";

const seed = 20_261_206;
const runs = 200;
const nodeCount = 6;
const repairRounds = 60;
const periodMs = 1_000;

/** A random event: a probe round, a one-way link failure, the repair of all links, or a node restart. */
type Event =
    | { readonly type: "round" }
    | { readonly type: "cut"; readonly from: number; readonly to: number }
    | { readonly type: "heal" }
    | { readonly type: "restart"; readonly node: number };

type TableFactory = (clock: ManualClock, self: MemberIdentity, random: () => number) => MemberTable;

const createCorrect: TableFactory = (clock, self, random) => new MemberTable({ clock, self, random });

/** Withholds suspicions from the suspected peer, so that it cannot refute them. */
class SuspicionHidingTable extends MemberTable {
    override takeUpdates(receiver?: string): readonly MemberStatement[] {
        return super.takeUpdates().filter((statement) => statement.name !== receiver);
    }
}

/** Ignores statements about itself instead of refuting them. */
class NonRefutingTable extends MemberTable {
    override mergeStatements(statements: readonly MemberStatement[]): void {
        super.mergeStatements(statements.filter((statement) => statement.name !== this.readSelf().name));
    }
}

class NetworkSimulation {
    readonly clock = new ManualClock();
    readonly tables: MemberTable[] = [];
    private readonly failedLinks = new Set<string>();
    private incarnation = 0;

    constructor(private readonly createTable: TableFactory) {
        for (let node = 0; node < nodeCount; node += 1) {
            this.restart(node);
        }
    }

    apply(event: Event): void {
        if (event.type === "round") {
            this.runRound();
        } else if (event.type === "cut") {
            this.failedLinks.add(`${event.from}>${event.to}`);
        } else if (event.type === "heal") {
            this.failedLinks.clear();
        } else {
            this.restart(event.node);
        }
    }

    private restart(node: number): void {
        this.incarnation += 1;
        const random = createRandom(seed + this.incarnation);
        const self = { ...buildIdentity(node), incarnation: this.incarnation };
        const table = this.createTable(this.clock, self, random);
        table.updateDiscovered([...Array(nodeCount).keys()].map(buildIdentity));
        this.tables[node] = table;
    }

    private runRound(): void {
        for (const [index, table] of this.tables.entries()) {
            const address = table.chooseProbeAddress();
            const target = [...Array(nodeCount).keys()].find(
                (node) => buildIdentity(node).peerAddress === address,
            );
            if (address !== undefined && target !== undefined) {
                this.probe(index, target, address);
            }
        }
        this.clock.advance(periodMs);
        this.tables.forEach((table) => table.removeExpired());
    }

    private probe(from: number, to: number, address: string): void {
        const caller = this.tables[from] as MemberTable;
        if (this.exchange(from, to)) {
            return;
        }
        const relays = caller.chooseRelayAddresses(address, 2).map(readNode);
        const isReached = relays.some((relay) => this.exchange(from, relay) && this.exchange(relay, to));
        if (!isReached) {
            caller.recordUnreachable(address);
        }
    }

    private exchange(from: number, to: number): boolean {
        const [caller, receiver] = [this.tables[from], this.tables[to]] as [MemberTable, MemberTable];
        if (this.failedLinks.has(`${from}>${to}`)) {
            return false;
        }
        receiver.recordContact(caller.readSelf());
        receiver.mergeStatements(caller.takeUpdates(caller.findName(buildIdentity(to).peerAddress)));
        if (this.failedLinks.has(`${to}>${from}`)) {
            return false;
        }
        caller.recordContact(receiver.readSelf());
        caller.mergeStatements(receiver.takeUpdates(caller.readSelf().name));
        return true;
    }
}

function buildIdentity(node: number): MemberIdentity {
    return {
        name: `node-${node}`,
        incarnation: 0,
        dataCentre: "a",
        peerAddress: `127.0.0.1:${7_000 + node}`,
    };
}

function readNode(address: string): number {
    return Number(address.split(":")[1]) - 7_000;
}

const nodes = fc.integer({ min: 0, max: nodeCount - 1 });
const events: fc.Arbitrary<Event> = fc.oneof(
    { weight: 6, arbitrary: fc.constant<Event>({ type: "round" }) },
    { weight: 4, arbitrary: fc.record({ type: fc.constant("cut" as const), from: nodes, to: nodes }) },
    { weight: 1, arbitrary: fc.constant<Event>({ type: "heal" }) },
    { weight: 1, arbitrary: fc.record({ type: fc.constant("restart" as const), node: nodes }) },
);

/** Checks that once all links are repaired, every node sees the newest incarnation of all others alive. */
function buildProperty(createTable: TableFactory): fc.IProperty<[Event[]]> {
    return fc.property(fc.array(events, { maxLength: 60 }), (history) => {
        const network = new NetworkSimulation(createTable);
        history.forEach((event) => network.apply(event));
        network.apply({ type: "heal" });
        for (let round = 0; round < repairRounds; round += 1) {
            network.apply({ type: "round" });
        }
        const actualMembers = network.tables.map((table) => table.readSelf());
        for (const table of network.tables) {
            const expected = actualMembers.filter((member) => member.name !== table.readSelf().name);
            const seen = table.listAlive().map(({ name, incarnation }) => `${name}#${incarnation}`);
            expect(seen).toEqual(expected.map(({ name, incarnation }) => `${name}#${incarnation}`));
        }
    });
}

describe("membership under random link failures and restarts", () => {
    it("converges to the running nodes after the links are repaired", () => {
        fc.assert(buildProperty(createCorrect), { seed, numRuns: runs, ...inject("fuzz") });
    });

    const mutants: readonly { readonly name: string; readonly factory: TableFactory }[] = [
        {
            name: "withholds suspicions from the suspect",
            factory: (clock, self, random) => new SuspicionHidingTable({ clock, self, random }),
        },
        {
            name: "never refutes",
            factory: (clock, self, random) => new NonRefutingTable({ clock, self, random }),
        },
    ];

    it.each(mutants)("catches a node that $name", ({ factory }) => {
        const details = fc.check(buildProperty(factory), { seed, numRuns: runs, endOnFailure: true });
        expect(details.failed).toBe(true);
    });

    it("bounds every message, whatever the history", () => {
        const network = new NetworkSimulation(createCorrect);
        const { refreshPerMessage, updatesPerMessage } = defaultMemberTableSettings;
        for (let round = 0; round < 20; round += 1) {
            network.apply({ type: "restart", node: round % nodeCount });
            network.apply({ type: "round" });
            const updates = network.tables.map((table) => table.takeUpdates("node-0"));
            expect(Math.max(...updates.map((list) => list.length))).toBeLessThanOrEqual(
                refreshPerMessage + updatesPerMessage + 1,
            );
            expect(updates.flat().every((update) => update.state !== MembershipState.Leaving)).toBe(true);
        }
    });
});
