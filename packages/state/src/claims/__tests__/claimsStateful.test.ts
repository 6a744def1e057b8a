/**
 * Random faults, freezes, crashes and repeats against the oracle: no key runs twice, no key stays blocked.
 */
import fc from "fast-check";
import { describe, expect, inject, it } from "vitest";
import type { CallFault, Row, TableService, Transaction } from "@pimentocleat/services";
import { flushTasks } from "../../retrying/__tests__/simulatedHost.js";
import type { ClaimOutcome, ClaimRequest, ClaimResult, ClaimStore } from "../claimStore.js";
import { TableClaimStore, type TableClaimStoreOptions } from "../tableClaimStore.js";
import { ClaimSimulation, createStore, type ClaimStoreFactory } from "./claimSimulation.js";

const nodeCount = 3;
const seed = 20_261_203;
const faults: readonly CallFault[] = ["none", "none", "none", "unavailable", "lostReply", "delayed"];
const outcomes: readonly ClaimOutcome["type"][] = ["answered", "answered", "unknown", "notRun"];

const stepArbitrary = fc.oneof(
    {
        weight: 5,
        arbitrary: fc.record({
            type: fc.constant("request" as const),
            node: fc.nat(nodeCount - 1),
            key: fc.nat(1),
            outcome: fc.constantFrom(...outcomes),
        }),
    },
    {
        weight: 3,
        arbitrary: fc.record({
            type: fc.constant("advance" as const),
            durationMs: fc.constantFrom(10, 100, 1_000, 3_000, 700_000),
        }),
    },
    {
        weight: 3,
        arbitrary: fc.record({
            type: fc.constant("faults" as const),
            plan: fc.array(fc.constantFrom(...faults), { minLength: 1, maxLength: 12 }),
        }),
    },
    { weight: 1, arbitrary: fc.record({ type: fc.constant("applyDelayed" as const) }) },
    {
        weight: 2,
        arbitrary: fc.record({
            type: fc.constant("freezeSoon" as const),
            node: fc.nat(nodeCount - 1),
            pauses: fc.nat(6),
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({ type: fc.constant("thaw" as const), node: fc.nat(nodeCount - 1) }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            type: fc.constant("crash" as const),
            node: fc.nat(nodeCount - 1),
            known: fc.boolean(),
        }),
    },
);
type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

/** Freezes a node at the n-th pause from now, before or after a call of the table service. */
function freezeSoon(world: ClaimSimulation, index: number, pauses: number): void {
    const { host, table } = world.nodes[index]!;
    let left = pauses;
    table.onPause = (): void => {
        if (left === 0) {
            host.freeze();
        }
        left -= 1;
    };
}

async function runStep(world: ClaimSimulation, step: Step): Promise<void> {
    switch (step.type) {
        case "request":
            void world.request(step.node, `key-${step.key}`, step.outcome);
            break;
        case "advance":
            await world.advance(Math.min(step.durationMs, 3_000));
            world.clock.advance(Math.max(0, step.durationMs - 3_000));
            break;
        case "faults": {
            let calls = 0;
            world.memory.setFaultPlan(() => step.plan[(calls += 1) % step.plan.length]!);
            break;
        }
        case "applyDelayed":
            world.memory.applyDelayedCommits();
            break;
        case "freezeSoon":
            freezeSoon(world, step.node, step.pauses);
            break;
        case "thaw":
            world.nodes[step.node]!.table.onPause = (): void => {};
            world.nodes[step.node]!.host.thaw();
            break;
        case "crash":
            world.crash(step.node, step.known);
            break;
    }
    await flushTasks(2);
}

/** Throws if a promise about claims is broken. */
async function checkHistory(factory: ClaimStoreFactory, steps: readonly Step[]): Promise<void> {
    const world = new ClaimSimulation(nodeCount, factory);
    for (const step of steps) {
        await runStep(world, step);
    }
    world.nodes.forEach((node) => (node.table.onPause = (): void => {}));
    await world.recoverAll();
    for (const key of ["key-0", "key-1"]) {
        expect(world.countRuns(key), "runs").toBeLessThanOrEqual(1);
        // A crash may leave a claim behind; then the key reads as unknown. Without one, no key stays blocked.
        const crashed = steps.some((step) => step.type === "crash");
        const request = world.request(0, key);
        await world.advance(6_000);
        const { result } = await request;
        const unsent = world.countRuns(key) === 0 || result?.type === "claimed";
        expect(world.countRuns(key), "runs after calm").toBeLessThanOrEqual(1);
        if (!crashed) {
            expect(unsent ? "claimed" : result?.type, "repeat").toMatch(
                unsent ? /^claimed$/ : /^(answered|outcomeUnknown)$/,
            );
            expect(world.countRuns(key), "never blocked").toBe(1);
        }
    }
    for (const attempt of world.attempts) {
        expect(attempt.ran && attempt.result?.type !== "claimed", "ran without a claim").toBe(false);
    }
}

/** Sends when the store could not say whether the claim holds. */
class OptimisticClaimStore extends TableClaimStore {
    override async claimKey(request: ClaimRequest): Promise<ClaimResult> {
        const result = await super.claimKey(request);
        const claim = { key: request.idempotencyKey, token: "none", version: 0 };
        return result.type === "unavailable" ? { type: "claimed", claim } : result;
    }
}

/** Takes over the claim of an owner that is gone or slow. */
class TakingOverClaimStore extends TableClaimStore {
    override async claimKey(request: ClaimRequest): Promise<ClaimResult> {
        const result = await super.claimKey(request);
        const claim = { key: request.idempotencyKey, token: "none", version: 0 };
        return result.type === "outcomeUnknown" ? { type: "claimed", claim } : result;
    }
}

/** Inserts without the condition that the row is absent. */
function withoutConditions(tableService: TableService): TableService {
    return {
        readRow: (table: string, key: string): Promise<Row | undefined> => tableService.readRow(table, key),
        scanRows: (table, options) => tableService.scanRows(table, options),
        commitTransaction: (transaction: Transaction) =>
            tableService.commitTransaction({ ...transaction, conditions: [] }),
    };
}

/** Forgets a claim that was given up instead of releasing it. */
function createForgettingStore(options: TableClaimStoreOptions): ClaimStore {
    const store = new TableClaimStore(options);
    store.close();
    return store;
}

const mutants: readonly {
    readonly name: string;
    readonly factory: ClaimStoreFactory;
    readonly failure: string;
}[] = [
    {
        name: "sends on an ambiguous claim",
        factory: (options) => new OptimisticClaimStore(options),
        failure: "runs",
    },
    { name: "takes over", factory: (options) => new TakingOverClaimStore(options), failure: "runs" },
    {
        name: "inserts without a condition",
        factory: (options) =>
            new TableClaimStore({ ...options, tableService: withoutConditions(options.tableService) }),
        failure: "runs",
    },
    {
        name: "shares one token",
        factory: (options) => new TableClaimStore({ ...options, createToken: () => "token" }),
        failure: "runs",
    },
    { name: "forgets claims given up", factory: createForgettingStore, failure: "never blocked" },
];

const steps = fc.array(stepArbitrary, { minLength: 4, maxLength: 40 });

describe("claims under random faults", () => {
    it("runs each key at most once and leaves none blocked", async () => {
        const property = fc.asyncProperty(steps, (history) => checkHistory(createStore, history));
        await fc.assert(property, { seed, numRuns: 300, ...inject("fuzz") });
    });

    it.each(mutants)("catches a store that $name", async ({ factory, failure }) => {
        const property = fc.asyncProperty(steps, (history) => checkHistory(factory, history));
        const details = await fc.check(property, { seed, numRuns: 300, endOnFailure: true });
        expect(String(details.errorInstance)).toContain(failure);
    });
});
