import { describe, expect, it } from "vitest";
import type { CallFault } from "@pimentocleat/services";
import { flushTasks } from "../../retrying/__tests__/simulatedHost.js";
import type { ClaimResult } from "../claimStore.js";
import { ClaimSimulation, storedAnswer, type Attempt } from "./claimSimulation.js";

/** Gives the faults of the next calls in order, then none. */
function planFaults(world: ClaimSimulation, faults: readonly CallFault[]): void {
    const left = [...faults];
    world.memory.setFaultPlan(() => left.shift() ?? "none");
}

async function requestInTime(
    world: ClaimSimulation,
    ...args: Parameters<ClaimSimulation["request"]>
): Promise<Attempt> {
    const request = world.request(...args);
    await world.advance(6_000);
    return request;
}

describe("TableClaimStore", () => {
    it.each<{ name: string; faults: CallFault[]; first: string; repeat: string; runs: number }>([
        { name: "no fault", faults: [], first: "claimed", repeat: "answered", runs: 1 },
        { name: "lost answer", faults: ["lostReply"], first: "claimed", repeat: "answered", runs: 1 },
        { name: "delayed commit", faults: ["delayed"], first: "claimed", repeat: "answered", runs: 1 },
        {
            name: "lost answer, then a failed read back",
            faults: ["lostReply", "none", "unavailable", "none", "none"],
            first: "claimed",
            repeat: "answered",
            runs: 1,
        },
        { name: "store down", faults: ["unavailable"], first: "unavailable", repeat: "claimed", runs: 1 },
        {
            name: "lost outcome answer",
            faults: ["none", "lostReply"],
            first: "claimed",
            repeat: "answered",
            runs: 1,
        },
        {
            name: "store down for the outcome",
            faults: ["none", "unavailable", "unavailable"],
            first: "claimed",
            repeat: "answered",
            runs: 1,
        },
        {
            name: "every answer lost until the claim times out",
            faults: Array<CallFault>(40).fill("lostReply"),
            first: "unavailable",
            repeat: "claimed",
            runs: 1,
        },
    ])("$name: $first, then $repeat through another node", async ({ faults, first, repeat, runs }) => {
        const world = new ClaimSimulation(2);
        planFaults(world, faults);
        const attempt = await requestInTime(world, 0, "key");
        expect(attempt.result?.type).toBe(first);
        await world.recoverAll();
        world.memory.applyDelayedCommits();
        const second = await requestInTime(world, 1, "key");
        expect(second.result?.type).toBe(repeat);
        expect(world.countRuns("key")).toBe(runs);
        if (second.result?.type === "answered") {
            expect(second.result.answer).toEqual(storedAnswer);
        }
    });

    it("blocks a commit that lands after its claim was given up, also over a released record", async () => {
        const world = new ClaimSimulation(2);
        for (let round = 0; round < 2; round += 1) {
            // The second round first learns of the released record, then tries to replace it.
            let good = round;
            world.memory.setFaultPlan((call) => (call === "commit" && (good -= 1) < 0 ? "delayed" : "none"));
            expect((await requestInTime(world, 0, "key")).result?.type).toBe("unavailable");
            world.memory.setFaultPlan(() => "none");
            await world.advance(30_000);
            world.memory.applyDelayedCommits();
        }
        expect((await requestInTime(world, 1, "key")).result?.type).toBe("claimed");
    });

    it.each([
        { outcome: "notRun", expected: "claimed" },
        { outcome: "unknown", expected: "outcomeUnknown" },
        { outcome: "answered", expected: "answered" },
    ] as const)("a repeat after $outcome is $expected", async ({ outcome, expected }) => {
        const world = new ClaimSimulation(2);
        await requestInTime(world, 0, "key", outcome);
        expect((await requestInTime(world, 1, "key")).result?.type).toBe(expected);
    });

    it.each([
        { name: "owner alive", crash: false, known: false, waitMs: 0, expected: "inProgress" },
        { name: "owner crashed, not known", crash: true, known: false, waitMs: 0, expected: "inProgress" },
        { name: "owner known gone", crash: true, known: true, waitMs: 0, expected: "outcomeUnknown" },
        { name: "claim too old", crash: true, known: false, waitMs: 600_000, expected: "outcomeUnknown" },
    ])("a repeat of an open claim, $name: $expected", async ({ crash, known, waitMs, expected }) => {
        const world = new ClaimSimulation(2);
        const { host, table } = world.nodes[0]!;
        let calls = 0;
        table.onPause = (point) => {
            calls += 1;
            if (point === "beforeCall" && calls > 2) {
                host.freeze();
            }
        };
        void world.request(0, "key");
        await flushTasks();
        await world.advance(100);
        if (crash) {
            world.crash(0, known);
        }
        world.clock.advance(waitMs);
        expect((await requestInTime(world, 1, "key")).result?.type).toBe(expected);
        expect(world.countRuns("key")).toBe(1);
    });

    it("answers another digest of the same key with a conflict, and unknown for an answer too large", async () => {
        const world = new ClaimSimulation(1);
        const { store } = world.nodes[0]!;
        const request = {
            customer: "customer",
            route: "/orders",
            idempotencyKey: "key",
            requestDigest: "",
            requestId: "request",
            node: "node-0-1",
        };
        const claimInTime = async (digest: string): Promise<ClaimResult> => {
            const result = store.claimKey({ ...request, requestDigest: digest });
            await world.advance(1_000);
            return result;
        };
        const claimed = await claimInTime("one");
        expect(await claimInTime("two")).toEqual({ type: "conflict" });
        if (claimed.type === "claimed") {
            const answer = { ...storedAnswer, body: "a".repeat(300_000) };
            void store.recordOutcome(claimed.claim, { type: "answered", answer });
        }
        expect(await claimInTime("two")).toEqual({ type: "conflict" });
        expect(await claimInTime("one")).toEqual({ type: "outcomeUnknown" });
    });

    it("commits claims of the same moment in one transaction, and never two of one key", async () => {
        const world = new ClaimSimulation(1);
        const requests = [...Array(64).keys()].map((index) => world.request(0, `key-${index % 63}`));
        await world.advance(6_000);
        const attempts = await Promise.all(requests);
        expect(attempts.filter((attempt) => attempt.ran)).toHaveLength(63);
        expect(world.countRuns("key-0")).toBe(1);
        expect(world.memory.getCallCounts().writes).toBeLessThanOrEqual(6);
    });
});
