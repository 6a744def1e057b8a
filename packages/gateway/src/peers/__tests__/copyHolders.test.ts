import { describe, expect, it } from "vitest";
import { chooseCopyHolders } from "../copyHolders.js";
import type { PeerAddress } from "../peerDirectory.js";

const count = 3;
const draws = 200;

function buildPeers(sizes: readonly number[]): readonly PeerAddress[] {
    return sizes.flatMap((size, dataCentre) =>
        Array.from({ length: size }, (...[, index]) => ({
            host: "127.0.0.1",
            port: 1 + index,
            dataCentre: `dc-${String(dataCentre)}`,
            processorShare: 1,
        })),
    );
}

/** Chooses for a node of the first data centre. */
function choose(sizes: readonly number[]): readonly PeerAddress[] {
    return chooseCopyHolders(buildPeers(sizes), { dataCentre: "dc-0", count, random: Math.random });
}

describe("chooseCopyHolders", () => {
    // Guards against counts that are lost because all nodes that get them share the sender's failed links to the store.
    it.each([3, 30, 65, 467])("gives copies to other data centres where each has %i nodes", (size) => {
        for (let draw = 0; draw < draws; draw += 1) {
            const dataCentres = choose([size - 1, size, size]).map(({ dataCentre }) => dataCentre);
            expect([...dataCentres].sort()).toEqual(["dc-0", "dc-1", "dc-2"]);
        }
    });

    it.each([
        { name: "there is only one data centre", sizes: [9], own: 3 },
        { name: "there are two data centres", sizes: [9, 9], own: 1 },
        { name: "another data centre has one node", sizes: [9, 1], own: 2 },
        { name: "it is the only one of its data centre", sizes: [0, 1, 4], own: 0 },
    ])("gives $own copies to the own data centre when $name", ({ sizes, own }) => {
        for (let draw = 0; draw < draws; draw += 1) {
            const chosen = choose(sizes);
            expect(new Set(chosen).size).toBe(count);
            expect(chosen.filter(({ dataCentre }) => dataCentre === "dc-0")).toHaveLength(own);
        }
    });

    it("draws the nodes at random", () => {
        const chosen = Array.from({ length: draws }, () => choose([9, 9, 9]).map(({ port }) => port)).flat();
        expect(new Set(chosen).size).toBe(9);
    });

    it("chooses no more nodes than there are", () => {
        expect(choose([1, 1])).toHaveLength(2);
        expect(choose([0])).toEqual([]);
    });
});
