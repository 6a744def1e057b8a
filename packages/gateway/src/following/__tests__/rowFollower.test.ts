import {
    PlatformError,
    PlatformErrorKind,
    type Row,
    type RowChange,
    type RowFeed,
} from "@pimentocleat/services";
import { MemoryMetrics, SilentLogger } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { RowFollower, type RowFollowerOptions } from "../rowFollower.js";

type Answer = { changes: readonly RowChange[]; position: number } | Error;

/** Serves reads from lists; further calls never resolve. */
class ListFeed implements RowFeed {
    readonly calls: string[] = [];

    constructor(
        private readonly tables: { rows: readonly Row[]; position: number }[],
        private readonly answers: Answer[],
    ) {}

    async readAll(): Promise<{ rows: readonly Row[]; position: number }> {
        this.calls.push("all");
        return this.tables.shift() ?? new Promise(() => undefined);
    }

    async readChanges(
        ...[, position]: [string, number]
    ): Promise<{ changes: readonly RowChange[]; position: number }> {
        this.calls.push(`changes after ${String(position)}`);
        const answer = this.answers.shift();
        if (answer instanceof Error) {
            throw answer;
        }
        return answer ?? new Promise(() => undefined);
    }
}

async function follow(
    feed: ListFeed,
    rounds: number,
    options: Partial<RowFollowerOptions> = {},
    onRound: (follower: RowFollower, round: number) => void = () => undefined,
) {
    const clock = new ManualClock();
    const seen: string[] = [];
    const follower = new RowFollower({
        feed,
        table: "t",
        clock,
        logger: new SilentLogger(),
        metrics: new MemoryMetrics(),
        random: () => 0.5,
        longPollMs: 1_000,
        computePauseMs: () => 100,
        computeRetryMs: () => 200,
        receiver: {
            setRows: (rows) => seen.push(`all ${rows.map(({ key }) => key).join(" ")}`),
            applyChanges: (changes) =>
                seen.push(
                    changes
                        .map((change) => (change.type === "put" ? change.row.key : `-${change.key}`))
                        .join(" "),
                ),
        },
        ...options,
    });
    void follower.run(new AbortController().signal);
    for (let round = 0; round < rounds; round += 1) {
        await new Promise((resolve) => setImmediate(resolve));
        onRound(follower, round);
        clock.advance(200);
    }
    return seen;
}

const row = (key: string, version: number): Row => ({ key, value: {}, version });

describe("RowFollower", () => {
    it("reads the complete table, then its changes", async () => {
        const feed = new ListFeed(
            [{ rows: [row("a", 1)], position: 5 }],
            [
                { changes: [{ type: "put", row: row("b", 6) }], position: 6 },
                { changes: [{ type: "delete", key: "a", version: 7 }], position: 7 },
            ],
        );
        expect(await follow(feed, 6)).toEqual(["all a", "b", "-a"]);
        expect(feed.calls).toEqual(["all", "changes after 5", "changes after 6", "changes after 7"]);
    });

    it.each([
        ["lost history", new PlatformError(PlatformErrorKind.Rejected, "410")],
        ["a silent connection", new PlatformError(PlatformErrorKind.Ambiguous, "no answer")],
        ["a store that refuses", new PlatformError(PlatformErrorKind.Unavailable, "503")],
    ])("reads the complete table again after %s", async (...[, error]) => {
        const feed = new ListFeed(
            [
                { rows: [row("a", 1)], position: 5 },
                { rows: [row("c", 9)], position: 9 },
            ],
            [error],
        );
        expect(await follow(feed, 6)).toEqual(["all a", "all c"]);
    });

    // A node that does not know its rank yet waited for the longest delay, 1,200 ms on average, while it served nothing.
    it("retries the first read after 200 ms, and doubles the delay up to the usual one", async () => {
        const feed = new ListFeed([], []);
        const readMs: number[] = [];
        const clock = new ManualClock();
        feed.readAll = async () => {
            readMs.push(clock.monotonicMs());
            throw new PlatformError(PlatformErrorKind.RateLimited, "429");
        };
        await follow(feed, 20, { clock, computeRetryMs: () => 1_200 }, () => clock.advance(200));
        const delays = readMs.slice(1).map((atMs, index) => atMs - readMs[index]!);
        expect(delays).toEqual([200, 400, 800, 1_200, 1_200]);
    });

    it("polls once for a request to read while no node relays changes", async () => {
        const feed = new ListFeed(
            [{ rows: [row("a", 1)], position: 5 }],
            Array.from({ length: 20 }, () => ({ changes: [], position: 5 })),
        );
        const options = { computePollIntervalMs: () => 1_000_000 };
        await follow(feed, 30, options, (follower, round) => {
            if (round === 3) {
                follower.requestRead();
            }
        });
        expect(feed.calls).toEqual(["all", "changes after 5"]);
    });

    it("reads the complete table at once for a request while another node relays changes", async () => {
        const feed = new ListFeed(
            [
                { rows: [row("a", 1)], position: 5 },
                { rows: [row("c", 9)], position: 9 },
            ],
            [],
        );
        const seen = await follow(feed, 8, { isRelayActive: () => true }, (follower, round) => {
            if (round === 3) {
                follower.requestRead();
            }
        });
        expect(seen).toEqual(["all a", "all c"]);
    });
});
