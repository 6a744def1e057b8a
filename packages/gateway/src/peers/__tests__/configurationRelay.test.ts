import type { Row, RowChange } from "@pimentocleat/services";
import { SilentLogger } from "@pimentocleat/telemetry";
import { describe, expect, it } from "vitest";
import { ConfigurationRelay, type ConfigurationMessage } from "../configurationRelay.js";

function createRelay(isServing: boolean) {
    const applied: (Row | RowChange)[] = [];
    const sent: ConfigurationMessage[] = [];
    const relay = new ConfigurationRelay({
        receiver: {
            setRows: (rows) => applied.push(...rows),
            applyChanges: (changes) => applied.push(...changes),
        },
        isServing: () => isServing,
        send: (message) => sent.push(message),
        logger: new SilentLogger(),
    });
    return { relay, applied, sent };
}

function buildRow(version: number, size = 3): Row {
    return { key: "config", version, value: { routes: Array.from({ length: size }, () => Math.random()) } };
}

describe("ConfigurationRelay", () => {
    it("storm of configurations: neighbours apply each version without a read of their own", () => {
        const reader = createRelay(true);
        const neighbour = createRelay(false);
        const rows = [1, 2, 3].map((version) => buildRow(version));
        rows.forEach((row) => reader.relay.applyChanges([{ type: "put", row }]));
        reader.sent.forEach((message) => neighbour.relay.receiveMessage(message));
        expect(neighbour.applied).toEqual(rows.map((row) => ({ type: "put", row })));
    });

    it("sends each version once, and nothing while another node reads the store", () => {
        const reader = createRelay(true);
        const row = buildRow(4);
        reader.relay.setRows([row], 4);
        reader.relay.applyChanges([{ type: "put", row }]);
        expect(reader.sent).toHaveLength(1);
        const neighbour = createRelay(false);
        neighbour.relay.setRows([row], 4);
        expect(neighbour.sent).toEqual([]);
        expect(neighbour.applied).toEqual([row]);
    });

    it("does not send a configuration that is too large for a message", () => {
        const reader = createRelay(true);
        reader.relay.setRows([buildRow(5, 20_000)], 5);
        expect(reader.sent).toEqual([]);
        expect(reader.applied).toHaveLength(1);
    });

    it("ignores a message that cannot be decoded", () => {
        const neighbour = createRelay(false);
        neighbour.relay.receiveMessage({ type: "configuration", key: "config", version: 9, value: "AAAA" });
        expect(neighbour.applied).toEqual([]);
    });
});
