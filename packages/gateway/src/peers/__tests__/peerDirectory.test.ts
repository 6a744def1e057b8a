import { MemoryTableService, type Row } from "@pimentocleat/services";
import { SilentLogger } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { PeerDirectory } from "../peerDirectory.js";

const names = [...Array(20).keys()].map((index) => `n${String(index)}`);

function buildRow(key: string, dataCentre = "a"): Row {
    return { key, value: { host: "127.0.0.1", port: 1, dataCentre }, version: 1 };
}

function createDirectory(name: string, clock = new ManualClock()): PeerDirectory {
    const address = { host: "127.0.0.1", port: 1, dataCentre: "a" };
    const tableService = new MemoryTableService();
    return new PeerDirectory({ name, address, tableService, clock, logger: new SilentLogger() });
}

describe("PeerDirectory", () => {
    it("takes a node that has just registered for live, until it stays silent", () => {
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

    it("names two watchers in a data centre, although most nodes are silent", () => {
        const watchers = names.filter((name) => {
            const clock = new ManualClock();
            const directory = createDirectory(name, clock);
            directory.setRows([...names.map((other) => buildRow(other)), buildRow("far", "b")]);
            clock.advance(60_000);
            return directory.isLeaseCandidate();
        });
        expect(watchers).toHaveLength(2);
    });

    it("watches itself while it knows no other node", () => {
        expect(createDirectory("n0").isLeaseCandidate()).toBe(true);
    });
});
