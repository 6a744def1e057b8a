import { MemoryTableService, type Row } from "@pimentocleat/services";
import { SilentLogger } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { PeerDirectory } from "../peerDirectory.js";

const names = [...Array(20).keys()].map((index) => `n${String(index)}`);

function buildRow(key: string, dataCentre = "a", processorShare = 1): Row {
    return { key, value: { host: "127.0.0.1", port: 1, dataCentre, processorShare }, version: 1 };
}

function createDirectory(name: string, clock = new ManualClock()): PeerDirectory {
    const address = { host: "127.0.0.1", port: 1, dataCentre: "a", processorShare: 1 };
    const tableService = new MemoryTableService();
    return new PeerDirectory({ name, address, tableService, clock, logger: new SilentLogger() });
}

describe("PeerDirectory", () => {
    it("treats a newly registered node as alive until its contact timeout", () => {
        const clock = new ManualClock();
        const directory = createDirectory("n0", clock);
        directory.setRows(names.map((name) => buildRow(name)));
        expect(directory.listLiveNeighbours()).toHaveLength(names.length - 1);
        clock.advance(2_000);
        directory.recordContact("n1");
        clock.advance(1_500);
        directory.setRows(names.map((name) => buildRow(name)));
        expect(directory.listLiveNeighbours()).toEqual(["n1"]);
    });

    it("selects two lease candidates in a data centre, even if most nodes send nothing", () => {
        const candidates = names.filter((name) => {
            const clock = new ManualClock();
            const directory = createDirectory(name, clock);
            directory.setRows([...names.map((other) => buildRow(other)), buildRow("far", "b")]);
            clock.advance(60_000);
            return directory.isLeaseCandidate();
        });
        expect(candidates).toHaveLength(2);
    });

    it("all nodes back at once: a node is no candidate before it knows the others, and one when there are none", () => {
        const directory = createDirectory("n0");
        expect(directory.isLeaseCandidate()).toBe(false);
        expect(directory.computeLiveReaderRank()).toBe(Number.POSITIVE_INFINITY);
        directory.setRows([]);
        expect(directory.isLeaseCandidate()).toBe(true);
        expect(directory.computeLiveReaderRank()).toBe(0);
    });

    it("ranks the hosts with the highest processor capacity first as readers", () => {
        const ranks = names.map((name) => {
            const directory = createDirectory(name);
            directory.setRows([...names.map((other) => buildRow(other)), buildRow("strong", "a", 2)]);
            return directory.computeReaderRank();
        });
        expect([...ranks].sort((left, right) => left - right)).toEqual(
            names.map((...[, index]) => index + 1),
        );
    });

    it("many nodes: tells the reader of each other data centre, and two likely ones while it is unknown", () => {
        const directory = createDirectory("n0");
        const others = names.map((name) => buildRow(`b-${name}`, "b"));
        directory.setRows([...names.map((name) => buildRow(name)), ...others]);
        expect(directory.isRelayed()).toBe(true);
        expect(directory.listOtherReaders()).toHaveLength(2);
        directory.recordOtherReader("b-n7");
        expect(directory.listOtherReaders()).toEqual([directory.findPeer("b-n7")]);
    });
});
