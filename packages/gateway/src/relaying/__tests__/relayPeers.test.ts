import { RelaySearch } from "@pimentocleat/policy";
import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { RelayPeers, type RelayPeer } from "../relayPeers.js";

const buildNode = (name: string, dataCentre: string, relayKey: string | undefined) => ({
    name,
    host: "127.0.0.1",
    port: 1,
    dataCentre,
    processorShare: 1,
    relayKey,
});

describe("the node through which a request goes", () => {
    const clock = new ManualClock();
    const nodes = [
        buildNode("near-1", "a", "k"),
        buildNode("near-2", "a", "k"),
        buildNode("near-old", "a", undefined),
        buildNode("far-1", "b", "k"),
    ];
    const createPeers = () => {
        let draw = 0;
        const random = () => (draw++ % 7) / 7;
        const findNode = (name: string) => nodes.find((node) => node.name === name);
        const isSilent = () => false;
        return new RelayPeers({ dataCentre: "a", clock, random, isSilent, findNode, listNodes: () => nodes });
    };
    const [near1, near2, , far1] = nodes.map((node) => ({ ...node, relayKey: "k" }));
    const chooseMany = (peers: RelayPeers, excluded: readonly RelayPeer[] = []) => {
        const search = new RelaySearch();
        excluded.forEach((node) => search.recordDeclined(node, "s1", "busy"));
        return new Set(Array.from({ length: 50 }, () => peers.chooseNode(search, "s1")?.name));
    };

    it("is one of the same data centre, and never one of an earlier release", () => {
        expect([...chooseMany(createPeers())].sort()).toEqual(["near-1", "near-2"]);
    });

    // Guards against a whole data centre that is partitioned and asks only itself (RECOVER).
    it("is one of another data centre when those of its own are unable", () => {
        const peers = createPeers();
        peers.recordDeclined(near1!, "busy");
        peers.recordDeclined(near2!, "busy");
        expect([...chooseMany(peers)]).toEqual(["far-1"]);
        expect([...chooseMany(peers, [far1!])].sort()).toEqual(["near-1", "near-2"]);
        expect([...chooseMany(peers, [far1!, near1!, near2!])]).toEqual([undefined]);
        clock.advance(1_000);
        expect([...chooseMany(peers)].sort()).toEqual(["near-1", "near-2"]);
    });

    // Guards against a node that keeps answering for servers which other nodes reach (RECOVER).
    it("is no longer one that did not reach a server which another node reached", () => {
        const peers = createPeers();
        const search = new RelaySearch();
        search.recordDeclined(near1!, "s1", "unreached");
        peers.recordRelayed(near2!, search, "s1");
        expect([...chooseMany(peers)]).toEqual(["near-2"]);
    });

    it("is the one that relays less", () => {
        const peers = createPeers();
        const counts = new Map<string, number>();
        for (let index = 0; index < 40; index += 1) {
            const search = new RelaySearch();
            const node = peers.chooseNode(search, "s1")!;
            counts.set(node.name, (counts.get(node.name) ?? 0) + 1);
            peers.recordAsked(node, search);
        }
        expect(Math.abs(counts.get("near-1")! - counts.get("near-2")!)).toBeLessThanOrEqual(2);
    });
});
