import { ManualClock } from "@pimentocleat/types";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { request as sendRequest } from "undici";
import { UsersPlatformStandIn } from "../usersPlatformStandIn.js";

interface StoreAnswer {
    readonly status: number;
    readonly era: unknown;
    readonly body: { readonly Rows?: readonly { readonly Key: string }[]; readonly Ver?: number };
}

describe("a store that comes back with older content", () => {
    let platform: UsersPlatformStandIn;
    let address: string;
    let clock: ManualClock;

    beforeEach(async () => {
        clock = new ManualClock();
        platform = new UsersPlatformStandIn({ clock });
        address = (await platform.open()).store;
    });

    afterEach(() => platform.close());

    const advanceTo = (atMs: number) => clock.advance(atMs - clock.monotonicMs());

    const put = (key: string, atMs: number) => {
        advanceTo(atMs);
        platform.rows.putJson("t", key, key);
    };

    const remove = (key: string, atMs: number) => {
        advanceTo(atMs);
        platform.rows.removeRow("t", key);
    };

    const call = async (path: string): Promise<StoreAnswer> => {
        const { statusCode, headers, body } = await sendRequest(`http://${address}${path}`);
        return {
            status: statusCode,
            era: headers["store-era"],
            body: (await body.json()) as StoreAnswer["body"],
        };
    };

    const listKeys = () => platform.rows.listRows("t").map((row) => row.Key);

    const feedPath = (after: number, waitMs = 0) =>
        `/-/rows-feed?Table=t&AfterRevision=${String(after)}&WaitMs=${String(waitMs)}`;

    /** Lists keys and versions of a copy of the store. */
    const listCopied = (ageMs: number) => {
        const { rows, version } = platform.rows.copyOlderRows(ageMs);
        return { rows: [...rows.values()].map((row) => `${row.Key}${String(row.Ver)}`).sort(), version };
    };

    it("copies puts, overwrites and removals as they were at any age", () => {
        put("a", 100);
        put("b", 200);
        put("a", 300);
        remove("b", 400);
        advanceTo(1_000);
        expect([0, 600, 601, 701, 801, 901].map(listCopied)).toEqual([
            { rows: ["a3"], version: 4 },
            { rows: ["a3"], version: 4 },
            { rows: ["a3", "b2"], version: 3 },
            { rows: ["a1", "b2"], version: 2 },
            { rows: ["a1"], version: 1 },
            { rows: [], version: 0 },
        ]);
        expect(listKeys()).toEqual(["a"]);
    });

    it("copies one transaction as a whole, and no longer than it remembers", () => {
        advanceTo(100);
        const entry = { Table: "t", Value: "" };
        platform.rows.applyTransaction({
            Puts: [
                { ...entry, Key: "a" },
                { ...entry, Key: "b" },
                { ...entry, Key: "a" },
            ],
        });
        expect(listCopied(1)).toEqual({ rows: [], version: 0 });
        expect(() => platform.rows.copyOlderRows(60_001)).toThrow("60001 ms old");
    });

    it("goes back with a raised era, a dropped history and versions that are given out again", async () => {
        put("a", 100);
        put("b", 200);
        expect(await call(feedPath(1))).toMatchObject({ status: 200, era: "1" });
        advanceTo(300);
        await platform.recoverOlderStore({ ageMs: 150, awayMs: 0 });
        expect(listKeys()).toEqual(["a"]);
        expect(await call(feedPath(2))).toMatchObject({ status: 410, era: "2" });
        expect(await call(feedPath(0))).toMatchObject({ status: 410, era: "2" });
        put("c", 400);
        expect(await call(feedPath(1))).toMatchObject({
            status: 200,
            era: "2",
            body: { Rows: [{ Key: "c", Ver: 2 }] },
        });
    });

    it("goes back twice, also to content that the first time has removed", async () => {
        put("a", 100);
        put("b", 200);
        advanceTo(300);
        await platform.recoverOlderStore({ ageMs: 150, awayMs: 0 });
        put("c", 400);
        advanceTo(500);
        expect(listCopied(150)).toEqual({ rows: ["a1"], version: 1 });
        await platform.recoverOlderStore({ ageMs: 250, awayMs: 0 });
        expect(listKeys()).toEqual(["a", "b"]);
        expect(await call(feedPath(2))).toMatchObject({ status: 200, era: "3" });
    });

    it("answers nothing while it is away, and loses what was written meanwhile", async () => {
        put("a", 100);
        const waiting = call(feedPath(1, 10_000));
        let isAnswered = false;
        waiting.then(
            () => (isAnswered = true),
            () => undefined,
        );
        await expect.poll(() => platform.countStoreCalls()).toBe(1);
        const recovery = platform.recoverOlderStore({ ageMs: 0, awayMs: 100 });
        const silent = call(feedPath(0));
        silent.catch(() => undefined);
        await expect.poll(() => platform.countStoreCalls()).toBe(2);
        put("b", 200);
        await recovery;
        expect(listKeys()).toEqual(["a"]);
        expect(isAnswered).toBe(false);
        expect(await call(feedPath(1))).toMatchObject({ status: 200, era: "2" });
    });

    it("is away in another way when asked", async () => {
        const recovery = platform.recoverOlderStore({ ageMs: 0, awayMs: 100, awayMode: "busy" });
        expect(await call(feedPath(0))).toMatchObject({ status: 503, era: "1" });
        clock.advance(100);
        await recovery;
        expect(await call(feedPath(0))).toMatchObject({ status: 200, era: "2" });
    });

    // Guards against changes of the new era that a waiting call returns as if they were of the former one.
    it("names the new era in the answer to a call that arrived before it", async () => {
        put("a", 100);
        const waiting = call(feedPath(1, 10_000));
        await expect.poll(() => platform.countStoreCalls()).toBe(1);
        platform.recoverStore(platform.rows.copyRows());
        put("b", 200);
        expect(await waiting).toMatchObject({ status: 200, era: "2", body: { Rows: [{ Key: "b" }] } });
    });
});
