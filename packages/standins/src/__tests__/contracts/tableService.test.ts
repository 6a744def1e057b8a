import {
    HttpTableService,
    MemoryTableService,
    PlatformErrorKind,
    type CallFault,
    type TableService,
    type Transaction,
} from "@pimentocleat/services";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { startPlatform, type FaultInput } from "../../index.js";

interface TableSubject {
    readonly table: TableService;
    setFault(fault: CallFault): void;
    /** Applies the delayed commits. */
    applyDelayedCommits(): void;
    close(): Promise<void>;
}

const faultInputs: Record<CallFault, readonly FaultInput[]> = {
    none: [],
    unavailable: [{ kind: "refuse" }],
    lostReply: [{ kind: "dropReply" }],
    delayed: [{ kind: "lateEffect", call: "commit", count: 1 }],
};

const subjects: Record<string, () => Promise<TableSubject>> = {
    "in memory": async () => {
        const table = new MemoryTableService();
        return {
            table,
            setFault: (fault) => table.setFaultPlan((call) => (call === "commit" ? fault : "none")),
            applyDelayedCommits: () => {
                table.setFaultPlan(() => "none");
                table.applyDelayedCommits();
            },
            close: async () => {},
        };
    },
    "over HTTP": async () => {
        const platform = await startPlatform();
        const table = new HttpTableService({ address: platform.address });
        return {
            table,
            setFault: (fault) => platform.switches.setPlan({ faults: [...faultInputs[fault]] }),
            applyDelayedCommits: () => platform.switches.clear(),
            close: async () => {
                await table.close();
                await platform.close();
            },
        };
    },
};

const absent = { table: "leases", key: "usage", version: 0 };
const current = { table: "leases", key: "usage", version: 1 };
const outdated = { table: "leases", key: "usage", version: 7 };
const change = { table: "leases", key: "usage", value: { holder: "entry-2" } };
const removal = { table: "leases", key: "usage" };
const other = { table: "intents", key: "one", value: [1, "x", true] };

interface CommitCase {
    readonly name: string;
    readonly transaction: Transaction;
    readonly outcome: "committed" | "conflict";
    /** Expected keys and versions of both tables after the transaction. */
    readonly rows: readonly (readonly [string, number])[];
}

const commitCases: readonly CommitCase[] = [
    {
        name: "a row at the expected version changes",
        transaction: { conditions: [current], writes: [change] },
        outcome: "committed",
        rows: [["usage", 2]],
    },
    {
        name: "a row at another version does not change",
        transaction: { conditions: [outdated], writes: [change] },
        outcome: "conflict",
        rows: [["usage", 1]],
    },
    {
        name: "a row that must be absent is not overwritten",
        transaction: { conditions: [absent], writes: [change] },
        outcome: "conflict",
        rows: [["usage", 1]],
    },
    {
        name: "one unmet condition prevents the writes to all tables",
        transaction: { conditions: [current, { ...absent, table: "none" }, outdated], writes: [other] },
        outcome: "conflict",
        rows: [["usage", 1]],
    },
    {
        name: "writes to two tables share one version",
        transaction: { conditions: [current], writes: [change, other] },
        outcome: "committed",
        rows: [
            ["usage", 2],
            ["one", 2],
        ],
    },
    {
        name: "a write without a value deletes the row",
        transaction: { conditions: [], writes: [removal] },
        outcome: "committed",
        rows: [],
    },
];

describe.each(Object.entries(subjects))("table service %s", (...[, start]) => {
    let subject: TableSubject;
    let table: TableService;

    beforeEach(async () => {
        subject = await start();
        table = subject.table;
        await table.commitTransaction({ conditions: [absent], writes: [{ ...change, value: "entry-1" }] });
    });

    afterEach(() => subject.close());

    async function listVersions(): Promise<(readonly [string, number])[]> {
        const rows = [...(await table.scanRows("leases")), ...(await table.scanRows("intents"))];
        return rows.map((row) => [row.key, row.version] as const);
    }

    test.each(commitCases)("$name", async ({ transaction, outcome, rows }) => {
        const result = await table.commitTransaction(transaction);
        expect(result.outcome).toBe(outcome);
        expect(await listVersions()).toEqual(rows);
    });

    test.each(commitCases)("$name, with the response lost", async ({ transaction, rows }) => {
        subject.setFault("lostReply");
        const commit = table.commitTransaction(transaction);
        await expect(commit).rejects.toMatchObject({ kind: PlatformErrorKind.Ambiguous });
        subject.setFault("none");
        expect(await listVersions()).toEqual(rows);
    });

    test.each(commitCases)("$name: rejected while the service is unavailable", async ({ transaction }) => {
        subject.setFault("unavailable");
        const commit = table.commitTransaction(transaction);
        await expect(commit).rejects.toMatchObject({ kind: PlatformErrorKind.Unavailable });
        subject.setFault("none");
        expect(await listVersions()).toEqual([["usage", 1]]);
    });

    test.each(commitCases)("$name, applied late with the response lost", async ({ transaction, rows }) => {
        subject.setFault("delayed");
        const commit = table.commitTransaction(transaction);
        await expect(commit).rejects.toMatchObject({ kind: PlatformErrorKind.Ambiguous });
        expect(await listVersions()).toEqual([["usage", 1]]);
        subject.applyDelayedCommits();
        expect(await listVersions()).toEqual(rows);
    });

    test("a late commit and a second one on the same condition cannot both apply", async () => {
        subject.setFault("delayed");
        const late = { conditions: [current], writes: [change, other] };
        await expect(table.commitTransaction(late)).rejects.toMatchObject({
            kind: PlatformErrorKind.Ambiguous,
        });
        subject.setFault("none");
        const rival = { conditions: [current], writes: [{ ...change, value: "settled" }] };
        const results = [await table.commitTransaction(rival)];
        subject.applyDelayedCommits();
        const isRivalApplied = results[0]?.outcome === "committed";
        const expected = isRivalApplied ? "settled" : change.value;
        expect((await table.readRow("leases", "usage"))?.value).toEqual(expected);
        expect((await table.scanRows("intents")).length).toBe(isRivalApplied ? 0 : 1);
    });

    test("a recreated row never reuses the version of the deleted one", async () => {
        await table.commitTransaction({ conditions: [], writes: [removal] });
        await table.commitTransaction({ conditions: [absent], writes: [change] });
        expect(await table.readRow("leases", "usage")).toEqual({
            key: "usage",
            value: change.value,
            version: 3,
        });
    });

    test("a scan pages by prefix, last key and limit", async () => {
        const keys = ["b/2", "a/1", "b/10", "b/1", "c"];
        const writes = keys.map((key) => ({ table: "pages", key, value: key }));
        await table.commitTransaction({ conditions: [], writes });
        const first = await table.scanRows("pages", { prefix: "b/", limit: 2 });
        const second = await table.scanRows("pages", { prefix: "b/", after: first.at(-1)?.key });
        expect([first, second].map((page) => page.map((row) => row.key))).toEqual([["b/1", "b/10"], ["b/2"]]);
    });
});
