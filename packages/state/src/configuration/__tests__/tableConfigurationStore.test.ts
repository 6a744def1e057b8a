import { describe, expect, it } from "vitest";
import { MemoryTableService, type CallFault } from "@pimentocleat/services";
import { ManualClock } from "@pimentocleat/types";
import { readWithdrawalsAfter } from "../../keys/withdrawalTable.js";
import { computeContentDigest } from "../configurationSnapshot.js";
import type { ApplyResult, FileChange } from "../configurationStore.js";
import { TableConfigurationStore } from "../tableConfigurationStore.js";

function buildCustomer(name: string): string {
    return `customers:\n  - name: ${name}\n`;
}

function buildChange(name: string, content: string, before?: string): FileChange {
    return { name, content, ...(before === undefined ? {} : { baseDigest: computeContentDigest(before) }) };
}

class StoreTestBed {
    readonly table = new MemoryTableService();
    readonly clock = new ManualClock();

    createStore(): TableConfigurationStore {
        return new TableConfigurationStore({
            tableService: this.table,
            clock: this.clock,
            random: () => 0.5,
        });
    }

    /** Advances the clock until the call ends. */
    async finish<Result>(call: Promise<Result>): Promise<Result> {
        let isDone = false;
        const done = call.finally(() => (isDone = true));
        while (!isDone) {
            await new Promise(setImmediate);
            this.clock.advance(100);
        }
        return done;
    }

    apply(changes: readonly FileChange[], author = "one"): Promise<ApplyResult> {
        return this.finish(this.createStore().applyChanges({ author, changes }));
    }

    /** Plans faults for the next calls of one kind, in this order. */
    planFaults(call: "read" | "scan" | "commit", faults: CallFault[]): void {
        this.table.setFaultPlan((kind) => (kind === call ? (faults.shift() ?? "none") : "none"));
    }
}

describe("TableConfigurationStore", () => {
    it("starts empty and counts revisions", async () => {
        const setup = new StoreTestBed();
        expect((await setup.createStore().readSnapshot()).revision).toBe(0);
        expect(await setup.apply([buildChange("a.yaml", buildCustomer("a"))])).toEqual({
            type: "applied",
            revision: 1,
            changedFiles: ["a.yaml"],
        });
        expect(await setup.apply([buildChange("a.yaml", buildCustomer("a"))])).toEqual({
            type: "unchanged",
            revision: 1,
        });
    });

    it("accepts concurrent edits of different files by several operators", async () => {
        const setup = new StoreTestBed();
        const names = ["a", "b", "c", "d", "e", "f"];
        const results = await setup.finish(
            Promise.all(
                names.map((name) =>
                    setup.createStore().applyChanges({
                        author: name,
                        changes: [buildChange(`${name}.yaml`, buildCustomer(name))],
                    }),
                ),
            ),
        );
        expect(results.map((result) => result.type)).toEqual(names.map(() => "applied"));
        const snapshot = await setup.createStore().readSnapshot();
        expect(snapshot.revision).toBe(names.length);
        expect(snapshot.files).toHaveLength(names.length);
    });

    it("names the file, revision and author of a conflict and changes nothing", async () => {
        const setup = new StoreTestBed();
        await setup.apply([buildChange("a.yaml", buildCustomer("a"))]);
        await setup.apply([buildChange("a.yaml", buildCustomer("b"), buildCustomer("a"))], "two");
        const result = await setup.apply([
            buildChange("a.yaml", buildCustomer("c"), buildCustomer("a")),
            buildChange("z.yaml", buildCustomer("z")),
        ]);
        expect(result).toMatchObject({
            type: "conflict",
            conflicts: [{ name: "a.yaml", revision: 2, author: "two" }],
        });
        expect((await setup.createStore().readSnapshot()).files).toEqual([
            { name: "a.yaml", content: buildCustomer("b") },
        ]);
    });

    it("validates the merged configuration, even if each edit alone is valid", async () => {
        const setup = new StoreTestBed();
        await setup.apply([buildChange("a.yaml", buildCustomer("same"))]);
        const result = await setup.apply([buildChange("b.yaml", buildCustomer("same"))], "two");
        expect(result).toMatchObject({ type: "invalid", problems: [{ file: "b.yaml", line: 2 }] });
    });

    it("deletes a file only if its content is the base of the edit", async () => {
        const setup = new StoreTestBed();
        await setup.apply([buildChange("a.yaml", buildCustomer("a"))]);
        expect((await setup.apply([{ name: "a.yaml", baseDigest: computeContentDigest("old") }])).type).toBe(
            "conflict",
        );
        expect(
            (await setup.apply([{ name: "a.yaml", baseDigest: computeContentDigest(buildCustomer("a")) }]))
                .type,
        ).toBe("applied");
        expect((await setup.createStore().readSnapshot()).files).toEqual([]);
    });

    it.each<[string, CallFault[], ApplyResult["type"], number]>([
        ["one lost reply", ["lostReply"], "applied", 1],
        ["three lost replies", ["lostReply", "lostReply", "lostReply"], "applied", 1],
        ["refused, then lost", ["unavailable", "lostReply"], "applied", 1],
        ["refused for a while", ["unavailable", "unavailable"], "applied", 1],
        ["refused throughout", Array.from({ length: 200 }, () => "unavailable"), "unavailable", 0],
        [
            "lost, then refused throughout",
            ["lostReply", ...Array.from({ length: 200 }, () => "unavailable" as const)],
            "applied",
            1,
        ],
    ])("resolves a commit with %s", async (title, faults, type, revision) => {
        const setup = new StoreTestBed();
        setup.planFaults("commit", faults);
        const result = await setup.apply([buildChange("a.yaml", buildCustomer("a"))]);
        setup.table.setFaultPlan(() => "none");
        expect(result.type, title).toBe(type);
        expect((await setup.createStore().readSnapshot()).revision).toBe(revision);
    });

    it("returns unknown when the store becomes unavailable right after a lost reply", async () => {
        const setup = new StoreTestBed();
        let isStoreDown = false;
        setup.table.setFaultPlan((call) => {
            const fault = isStoreDown ? "unavailable" : call === "commit" ? "lostReply" : "none";
            isStoreDown ||= call === "commit";
            return fault;
        });
        expect(await setup.apply([buildChange("a.yaml", buildCustomer("a"))])).toEqual({
            type: "unknown",
            revision: 1,
        });
    });

    it("rebases after a failed commit when another operator's commit created the revision", async () => {
        const setup = new StoreTestBed();
        let other: Promise<ApplyResult> | undefined;
        setup.table.setFaultPlan((call) => {
            if (call !== "commit" || other !== undefined) {
                return "none";
            }
            other = setup
                .createStore()
                .applyChanges({ author: "two", changes: [buildChange("b.yaml", buildCustomer("b"))] });
            return "unavailable";
        });
        expect(await setup.apply([buildChange("a.yaml", buildCustomer("a"))])).toMatchObject({
            type: "applied",
            revision: 2,
        });
        expect((await setup.createStore().readSnapshot()).files.map((file) => file.name)).toEqual([
            "a.yaml",
            "b.yaml",
        ]);
    });

    it("records withdrawn keys in the same transaction, once", async () => {
        const setup = new StoreTestBed();
        const key = `keys:\n  - id: k\n    customer: a\n    digest: ${"a".repeat(64)}\n`;
        await setup.apply([buildChange("a.yaml", buildCustomer("a")), buildChange("k.yaml", key)]);
        await setup.apply([buildChange("k.yaml", `${key}    withdrawn: true\n`, key)]);
        await setup.apply([buildChange("b.yaml", buildCustomer("b"))]);
        await setup.apply([buildChange("k.yaml", key, `${key}    withdrawn: true\n`)]);
        const withdrawals = await readWithdrawalsAfter(setup.table, 0);
        expect(withdrawals.map((withdrawal) => withdrawal.keyId)).toEqual(["k"]);
    });

    it.each([
        ["one changed file", 1, 2],
        ["several revisions", 12, 13],
        ["too many changed files to read one by one", 40, 1],
    ])("reads what changed since a known snapshot: %s", async (title, changes, reads) => {
        const setup = new StoreTestBed();
        await setup.apply([buildChange("a.yaml", buildCustomer("a"))]);
        await setup.apply([buildChange("b.yaml", buildCustomer("b"))]);
        const store = new TableConfigurationStore({
            tableService: setup.table,
            clock: setup.clock,
            incrementalReadThreshold: 0,
        });
        const known = await store.readSnapshot();
        await setup.apply([{ name: "a.yaml", baseDigest: computeContentDigest(buildCustomer("a")) }]);
        for (let change = 1; change < changes; change += 1) {
            const name = `c${String(change)}`;
            await setup.apply([buildChange(`${name}.yaml`, buildCustomer(name))]);
        }
        const complete = await store.readSnapshot();
        const head = { revision: complete.revision, digest: complete.digest, author: "o", appliedAtMs: 0 };
        const before = setup.table.getCallCounts().reads;
        expect(await store.readSnapshot(head, known), title).toEqual(complete);
        const logRead = reads === 1 ? 1 : 0;
        expect(setup.table.getCallCounts().reads - before).toBe(reads + logRead);
    });

    it("reads everything when the files changed again after the head was read", async () => {
        const setup = new StoreTestBed();
        await setup.apply([buildChange("a.yaml", buildCustomer("a"))]);
        const options = { tableService: setup.table, clock: setup.clock, incrementalReadThreshold: 0 };
        const store = new TableConfigurationStore(options);
        const known = await store.readSnapshot();
        await setup.apply([buildChange("a.yaml", buildCustomer("b"), buildCustomer("a"))]);
        const { revision, digest } = await store.readSnapshot();
        await setup.apply([buildChange("a.yaml", buildCustomer("c"), buildCustomer("b"))]);
        const head = { revision, digest, author: "o", appliedAtMs: 0 };
        expect((await store.readSnapshot(head, known)).revision).toBe(3);
    });
});
