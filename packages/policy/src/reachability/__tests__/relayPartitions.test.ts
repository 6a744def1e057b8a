import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { createRandom } from "../../random/random.js";
import { RelayChoice } from "../relayChoice.js";
import { RelaySearch, type RelayCandidate } from "../relaySearch.js";

/** Requests per second to each node. */
const callsPerSecond = 2.5;
/** Time after which callers of a node that reaches no server must be served like others, in milliseconds. */
const contactMs = 3_000;
const partitionMs = 9_000;
const stepMs = 1_000 / callsPerSecond;
/** Nodes whose requests are played; the others are alike. */
const playedNodes = 20;
const serverId = "server";

/** Which nodes lose their links, as a share of the nodes of each data centre. */
type CutShares = readonly number[];

interface Outcome {
    readonly requests: number;
    readonly failed: number;
    readonly asked: number;
    readonly mostAsked: number;
}

/** Plays the requests of nodes that reach no server; each node learns from its own requests alone. */
function playPartition(sizes: readonly number[], cutShares: CutShares, seed: number): Outcome {
    const clock = new ManualClock();
    const random = createRandom(seed);
    const nodes = sizes.flatMap((size, dataCentre) =>
        Array.from({ length: size }, (...[, index]) => ({
            name: `${String(dataCentre)}-${String(index)}`,
            dataCentre: String(dataCentre),
            isCut: index < Math.round(size * cutShares[dataCentre]!),
        })),
    );
    const senders = nodes
        .filter(({ isCut }) => isCut)
        .slice(0, playedNodes)
        .map(({ name, dataCentre }) => ({
            others: nodes.filter((node) => node.name !== name),
            choice: new RelayChoice({ dataCentre, clock, random, isSilent: () => false }),
        }));
    const outcome = { requests: 0, failed: 0, asked: 0, mostAsked: 0 };
    const sendRequest = ({ others, choice }: (typeof senders)[number]): void => {
        const search = new RelaySearch();
        let isServed = false;
        while (!isServed && !search.isExhausted(sizes.length)) {
            const node = choice.chooseNode(others, search, serverId);
            if (node === undefined) {
                break;
            }
            choice.recordAsked(node, search);
            isServed = !node.isCut;
            if (isServed) {
                choice.recordRelayed(node);
            } else {
                choice.recordDeclined(node, "apart");
                search.recordDeclined(node, serverId, "apart");
            }
        }
        if (clock.monotonicMs() >= contactMs) {
            outcome.requests += 1;
            outcome.failed += isServed ? 0 : 1;
            outcome.asked += search.countDeclined();
            outcome.mostAsked = Math.max(outcome.mostAsked, search.countDeclined());
        }
    };
    for (let atMs = 0; atMs < partitionMs; atMs += stepMs) {
        senders.forEach(sendRequest);
        clock.advance(stepMs);
    }
    return outcome;
}

const cutFirst = (count: number, total: number): CutShares =>
    Array.from({ length: total }, (...[, index]) => (index < count ? 1 : 0));
const cutEverywhere = (share: number, total: number): CutShares => Array<number>(total).fill(share);
const buildSizes = (total: number, size: number): readonly number[] => Array<number>(total).fill(size);

describe("nodes that reach no server", () => {
    // Guards against requests that ask only nodes whose links failed with those of their own node (RECOVER).
    it.each([
        ["a data centre of 3 nodes", buildSizes(3, 3), cutFirst(1, 3)],
        ["a data centre of 15 nodes", buildSizes(2, 15), cutFirst(1, 2)],
        ["a data centre of 30 nodes", buildSizes(3, 30), cutFirst(1, 3)],
        ["two of three data centres of 30 nodes", buildSizes(3, 30), cutFirst(2, 3)],
        ["a data centre of 65 nodes", buildSizes(3, 65), cutFirst(1, 3)],
        ["a data centre of 78 nodes among 18", buildSizes(18, 78), cutFirst(1, 18)],
        ["17 of 18 data centres of 78 nodes", buildSizes(18, 78), cutFirst(17, 18)],
        ["a third of each data centre", buildSizes(3, 30), cutEverywhere(1 / 3, 3)],
        ["two thirds of each data centre", buildSizes(3, 30), cutEverywhere(2 / 3, 3)],
        ["two thirds of 1,404 nodes", buildSizes(18, 78), cutEverywhere(2 / 3, 18)],
        ["a data centre and a third of the others", buildSizes(3, 65), [1, 1 / 3, 1 / 3]],
    ])("find one that does when the links fail of %s", (...[, sizes, cutShares]) => {
        const { requests, failed, mostAsked } = playPartition(sizes, cutShares, 46);
        expect(requests).toBeGreaterThan(0);
        expect(failed).toBeLessThanOrEqual(requests / 50);
        expect(mostAsked).toBeLessThanOrEqual(sizes.length + 8);
    });

    // Guards against requests that ask nodes again and again of which this node knows that they reach no server.
    it("ask on average less than one node in vain when the links of their data centre fail", () => {
        const { requests, asked } = playPartition(buildSizes(3, 30), cutFirst(1, 3), 46);
        expect(asked).toBeLessThan(requests);
    });
});

describe("the choice of a node", () => {
    const build = (name: string, dataCentre: string): RelayCandidate => ({ name, dataCentre });
    const nodes = [build("near-1", "a"), build("near-2", "a"), build("far-1", "b"), build("far-2", "c")];
    const createChoice = (clock: ManualClock, silent: readonly string[] = []): RelayChoice =>
        new RelayChoice({
            dataCentre: "a",
            clock,
            random: createRandom(1),
            isSilent: (name) => silent.includes(name),
        });
    const chooseMany = (choice: RelayChoice, search = new RelaySearch()): readonly string[] => {
        const names = Array.from(
            { length: 50 },
            () => choice.chooseNode(nodes, search, serverId)?.name ?? "none",
        );
        return [...new Set(names)].sort();
    };

    // Guards against requests that spend their time on nodes that are known not to be there, 200 ms each.
    it.each(["gone", "apart"] as const)("asks at most two nodes that are known to be %s", (obstacle) => {
        const choice = createChoice(new ManualClock());
        nodes.forEach((node) => choice.recordDeclined(node, obstacle));
        const search = new RelaySearch();
        const asked: string[] = [];
        for (
            let node = choice.chooseNode(nodes, search, serverId);
            node !== undefined;
            node = choice.chooseNode(nodes, search, serverId)
        ) {
            asked.push(node.name);
            choice.recordAsked(node, search);
            search.recordDeclined(node, serverId, obstacle);
        }
        expect(asked).toHaveLength(2);
    });

    // Guards against idle nodes that are never asked, since no message of theirs arrives (RECOVER).
    it("prefers a silent node of another data centre to one whose neighbours reach no server", () => {
        const choice = createChoice(new ManualClock(), ["far-1", "far-2"]);
        expect(chooseMany(choice)).toEqual(["near-1", "near-2"]);
        choice.recordDeclined(nodes[0]!, "apart");
        expect(chooseMany(choice)).toEqual(["far-1", "far-2"]);
    });

    it("trusts a data centre again when a node there has relayed", () => {
        const choice = createChoice(new ManualClock());
        choice.recordDeclined(nodes[0]!, "apart");
        choice.recordRelayed(nodes[1]!);
        expect(chooseMany(choice)).toEqual(["near-2"]);
    });

    it("forgets after some time that a node reached no server", () => {
        const clock = new ManualClock();
        const choice = createChoice(clock);
        choice.recordDeclined(nodes[0]!, "apart");
        expect(chooseMany(choice)).toEqual(["far-1", "far-2"]);
        clock.advance(3_000);
        expect(chooseMany(choice)).toEqual(["near-1", "near-2"]);
    });

    // Guards against a server that is excluded because one node does not reach it (RECOVER).
    it("blames a server only when two nodes do not reach it", () => {
        const search = new RelaySearch();
        expect(search.recordDeclined(nodes[0]!, serverId, "unreached")).toBe(false);
        expect(chooseMany(createChoice(new ManualClock()), search)).toEqual(["far-1", "far-2"]);
        expect(search.recordDeclined(nodes[2]!, serverId, "unreached")).toBe(true);
        expect(search.isOpen("far-1", "other server")).toBe(true);
    });
});
