import { describe, expect, it } from "vitest";
import { RecordTable, type NodeRecord } from "../recordTable.js";

function createTable(): { table: RecordTable; seen: string[]; restarted: string[] } {
    const seen: string[] = [];
    const restarted: string[] = [];
    const table = new RecordTable({
        owner: "node-1",
        incarnation: 1,
        recordsPerMessage: 4,
        onRecord: (record) =>
            seen.push(`${record.owner}#${record.incarnation}/${record.key}@${record.version}`),
        onRestart: (owner) => restarted.push(owner),
    });
    return { table, seen, restarted };
}

function buildRecord(incarnation: number, version: number, key = "pool:a"): NodeRecord {
    return { owner: "node-2", incarnation, key, version, payload: new Uint8Array() };
}

describe("RecordTable", () => {
    it("accepts each newer version once, in any order of arrival", () => {
        const { table, seen } = createTable();
        table.mergeRecords([buildRecord(1, 2), buildRecord(1, 1), buildRecord(1, 2), buildRecord(1, 3)]);
        expect(seen).toEqual(["node-2#1/pool:a@2", "node-2#1/pool:a@3"]);
    });

    it("reports a restart before the first record of a newer incarnation, then ignores the older one", () => {
        const { table, seen, restarted } = createTable();
        table.mergeRecords([buildRecord(1, 9), buildRecord(2, 1), buildRecord(1, 10, "pool:b")]);
        expect(restarted).toEqual(["node-2"]);
        expect(seen).toEqual(["node-2#1/pool:a@9", "node-2#2/pool:a@1"]);
    });

    it("bounds a message and replaces a record that is still queued", () => {
        const { table } = createTable();
        for (let version = 0; version < 20; version += 1) {
            table.setOwnRecord("pool:a", new Uint8Array([version]));
        }
        table.setOwnRecord("pool:b", new Uint8Array());
        const records = table.takeRecords(9);
        expect(records.map((record) => [record.key, record.version])).toEqual([
            ["pool:a", 20],
            ["pool:b", 1],
        ]);
    });
});
