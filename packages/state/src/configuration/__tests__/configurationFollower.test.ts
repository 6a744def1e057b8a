import { describe, expect, it } from "vitest";
import { ConsolaLogger } from "@pimentocleat/telemetry";
import { ConfigurationFollower } from "../configurationFollower.js";
import { buildSnapshot, type ConfigurationSnapshot } from "../configurationSnapshot.js";

function buildCustomerSnapshot(revision: number, name: string): ConfigurationSnapshot {
    return buildSnapshot(revision, [{ name: "a.yaml", content: `customers: [{name: ${name}}]` }]);
}

function setUp() {
    const lines: string[] = [];
    const state = { stored: buildCustomerSnapshot(5, "stored"), fromPeers: buildCustomerSnapshot(5, "peer") };
    const follower = new ConfigurationFollower({
        store: { readSnapshot: () => Promise.resolve(state.stored) },
        peers: { readHighestSnapshot: () => Promise.resolve(state.fromPeers) },
        logger: new ConsolaLogger({ format: "json", level: "debug", writeLine: (line) => lines.push(line) }),
    });
    return { follower, state, lines };
}

describe("ConfigurationFollower", () => {
    it.each<[string, ConfigurationSnapshot]>([
        ["a lower revision", buildCustomerSnapshot(4, "old")],
        ["the same revision", buildCustomerSnapshot(5, "other")],
        ["a digest that does not match", { ...buildCustomerSnapshot(6, "new"), digest: "wrong" }],
        ["an invalid configuration", buildCustomerSnapshot(6, "INVALID")],
    ])("keeps the last applied configuration when it receives %s", async (title, offered) => {
        const { follower, state } = setUp();
        follower.applySnapshot(state.stored);
        expect(follower.applySnapshot(offered), title).toBe(false);
        state.fromPeers = offered;
        await follower.followPeers();
        state.stored = offered;
        await follower.followHead({ revision: 6, digest: "", author: "o", appliedAtMs: 0 });
        expect(follower.readCurrent()?.revision).toBe(5);
        expect(follower.readCurrent()?.configuration.customers[0]?.name).toBe("stored");
    });

    it("logs a refused configuration once", () => {
        const { follower, lines } = setUp();
        follower.applySnapshot(buildCustomerSnapshot(6, "INVALID"));
        follower.applySnapshot(buildCustomerSnapshot(6, "INVALID"));
        expect(lines).toHaveLength(1);
        expect(lines[0]).toContain("a.yaml:1: customers[0].name");
    });

    it("calls every listener, even if another one throws", () => {
        const { follower } = setUp();
        const revisions: number[] = [];
        follower.onChange(() => {
            throw new Error("listener");
        });
        const unsubscribe = follower.onChange((applied) => revisions.push(applied.revision));
        follower.applySnapshot(buildCustomerSnapshot(6, "new"));
        unsubscribe();
        follower.applySnapshot(buildCustomerSnapshot(7, "newer"));
        expect(revisions).toEqual([6]);
    });

    it("keeps the objects of files that did not change", () => {
        const { follower } = setUp();
        const kept = { name: "b.yaml", content: "customers: [{name: kept}]" };
        follower.applySnapshot(
            buildSnapshot(6, [kept, { name: "a.yaml", content: "customers: [{name: x}]" }]),
        );
        const before = follower.readCurrent()?.configuration.customers[1];
        follower.applySnapshot(
            buildSnapshot(7, [kept, { name: "a.yaml", content: "customers: [{name: y}]" }]),
        );
        expect(follower.readCurrent()?.configuration.customers[1]).toBe(before);
    });
});
