import { request as sendRequest } from "undici";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { UsersPlatformStandIn } from "../usersPlatformStandIn.js";

describe("a store that comes back with older content", () => {
    let platform: UsersPlatformStandIn;
    let address: string;

    beforeEach(async () => {
        platform = new UsersPlatformStandIn();
        address = (await platform.open()).store;
    });

    afterEach(() => platform.close());

    const call = async (path: string) => {
        const { statusCode, headers, body } = await sendRequest(`http://${address}${path}`);
        return { status: statusCode, era: headers["store-era"], body: await body.json() };
    };

    const feedPath = (after: number, waitMs = 0) =>
        `/-/rows-feed?Table=t&AfterRevision=${String(after)}&WaitMs=${String(waitMs)}`;

    // Guards against changes of the new era that a waiting call returns as if they were of the former one.
    it("names the new era in the answer to a call that arrived before it", async () => {
        platform.rows.putJson("t", "a", "a");
        const waiting = call(feedPath(1, 10_000));
        await expect.poll(() => platform.countStoreCalls()).toBe(1);
        platform.recoverStore(platform.rows.copyRows());
        platform.rows.putJson("t", "b", "b");
        expect(await waiting).toMatchObject({ status: 200, era: "2", body: { Rows: [{ Key: "b" }] } });
    });
});
