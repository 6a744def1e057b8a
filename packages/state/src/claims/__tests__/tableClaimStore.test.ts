import { describe, expect, it } from "vitest";
import type { CallFault } from "@pimentocleat/services";
import { flushTasks } from "../../retrying/__tests__/simulatedHost.js";
import type { ClaimResult } from "../claimStore.js";
import { ClaimSimulation, storedAnswer, type Attempt } from "./claimSimulation.js";

/** Injects the given faults into the next calls in order, and none afterwards. */
function planFaults(simulation: ClaimSimulation, faults: readonly CallFault[]): void {
    const remainingFaults = [...faults];
    simulation.memory.setFaultPlan(() => remainingFaults.shift() ?? "none");
}

async function requestInTime(
    simulation: ClaimSimulation,
    ...args: Parameters<ClaimSimulation["request"]>
): Promise<Attempt> {
    const request = simulation.request(...args);
    await simulation.advance(6_000);
    return request;
}

describe("TableClaimStore", () => {
    it.each<{ name: string; faults: CallFault[]; first: string; repeat: string; runs: number }>([
        { name: "no fault", faults: [], first: "claimed", repeat: "answered", runs: 1 },
        { name: "lost response", faults: ["lostReply"], first: "claimed", repeat: "answered", runs: 1 },
        { name: "delayed commit", faults: ["delayed"], first: "claimed", repeat: "answered", runs: 1 },
        {
            name: "lost response, then a failed read",
            faults: ["lostReply", "none", "unavailable", "none", "none"],
            first: "claimed",
            repeat: "answered",
            runs: 1,
        },
        {
            name: "store unavailable",
            faults: ["unavailable"],
            first: "unavailable",
            repeat: "claimed",
            runs: 1,
        },
        {
            name: "lost response to the outcome",
            faults: ["none", "lostReply"],
            first: "claimed",
            repeat: "answered",
            runs: 1,
        },
        {
            name: "store unavailable for the outcome",
            faults: ["none", "unavailable", "unavailable"],
            first: "claimed",
            repeat: "answered",
            runs: 1,
        },
        {
            name: "every response lost until the claim times out",
            faults: Array<CallFault>(40).fill("lostReply"),
            first: "unavailable",
            repeat: "claimed",
            runs: 1,
        },
    ])("$name: $first, then $repeat through another node", async ({ faults, first, repeat, runs }) => {
        const simulation = new ClaimSimulation(2);
        planFaults(simulation, faults);
        const attempt = await requestInTime(simulation, 0, "key");
        expect(attempt.result?.type).toBe(first);
        await simulation.recoverAll();
        simulation.memory.applyDelayedCommits();
        const second = await requestInTime(simulation, 1, "key");
        expect(second.result?.type).toBe(repeat);
        expect(simulation.countRuns("key")).toBe(runs);
        if (second.result?.type === "answered") {
            expect(second.result.answer).toEqual(storedAnswer);
        }
    });

    it("rejects a commit that arrives after its claim was given up, also over a released record", async () => {
        const simulation = new ClaimSimulation(2);
        for (let round = 0; round < 2; round += 1) {
            // The second round first reads the released record and then tries to replace it.
            let good = round;
            simulation.memory.setFaultPlan((call) =>
                call === "commit" && (good -= 1) < 0 ? "delayed" : "none",
            );
            expect((await requestInTime(simulation, 0, "key")).result?.type).toBe("unavailable");
            simulation.memory.setFaultPlan(() => "none");
            await simulation.advance(30_000);
            simulation.memory.applyDelayedCommits();
        }
        expect((await requestInTime(simulation, 1, "key")).result?.type).toBe("claimed");
    });

    it.each([
        { outcome: "notRun", expected: "claimed" },
        { outcome: "unknown", expected: "outcomeUnknown" },
        { outcome: "answered", expected: "answered" },
    ] as const)("a repeated request after $outcome is $expected", async ({ outcome, expected }) => {
        const simulation = new ClaimSimulation(2);
        await requestInTime(simulation, 0, "key", outcome);
        expect((await requestInTime(simulation, 1, "key")).result?.type).toBe(expected);
    });

    it.each([
        { name: "owner alive", crash: false, known: false, waitMs: 0, expected: "inProgress" },
        {
            name: "owner crashed, not declared dead",
            crash: true,
            known: false,
            waitMs: 0,
            expected: "inProgress",
        },
        { name: "owner declared dead", crash: true, known: true, waitMs: 0, expected: "outcomeUnknown" },
        { name: "claim too old", crash: true, known: false, waitMs: 600_000, expected: "outcomeUnknown" },
    ])(
        "a repeated request with an open claim, $name: $expected",
        async ({ crash, known, waitMs, expected }) => {
            const simulation = new ClaimSimulation(2);
            const { host, table } = simulation.nodes[0]!;
            let calls = 0;
            table.onPause = (point) => {
                calls += 1;
                if (point === "beforeCall" && calls > 2) {
                    host.freeze();
                }
            };
            void simulation.request(0, "key");
            await flushTasks();
            await simulation.advance(100);
            if (crash) {
                simulation.crash(0, known);
            }
            simulation.clock.advance(waitMs);
            expect((await requestInTime(simulation, 1, "key")).result?.type).toBe(expected);
            expect(simulation.countRuns("key")).toBe(1);
        },
    );

    it("returns a conflict for another digest of the same key, and unknown after an oversized response", async () => {
        const simulation = new ClaimSimulation(1);
        const { store } = simulation.nodes[0]!;
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
            await simulation.advance(1_000);
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

    it("commits concurrent claims in one transaction, and never two of one key", async () => {
        const simulation = new ClaimSimulation(1);
        const requests = [...Array(64).keys()].map((index) => simulation.request(0, `key-${index % 63}`));
        await simulation.advance(6_000);
        const attempts = await Promise.all(requests);
        expect(attempts.filter((attempt) => attempt.ran)).toHaveLength(63);
        expect(simulation.countRuns("key-0")).toBe(1);
        expect(simulation.memory.getCallCounts().writes).toBeLessThanOrEqual(6);
    });
});
