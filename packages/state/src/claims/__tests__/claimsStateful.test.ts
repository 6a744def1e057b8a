/**
 * Tests claims under random faults, freezes, crashes and repeated requests. No key may run twice or stay blocked.
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
function freezeSoon(simulation: ClaimSimulation, index: number, pauses: number): void {
    const { host, table } = simulation.nodes[index]!;
    let remainingPauses = pauses;
    table.onPause = (): void => {
        if (remainingPauses === 0) {
            host.freeze();
        }
        remainingPauses -= 1;
    };
}

async function runStep(simulation: ClaimSimulation, step: Step): Promise<void> {
    switch (step.type) {
        case "request":
            void simulation.request(step.node, `key-${step.key}`, step.outcome);
            break;
        case "advance":
            await simulation.advance(Math.min(step.durationMs, 3_000));
            simulation.clock.advance(Math.max(0, step.durationMs - 3_000));
            break;
        case "faults": {
            let calls = 0;
            simulation.memory.setFaultPlan(() => step.plan[(calls += 1) % step.plan.length]!);
            break;
        }
        case "applyDelayed":
            simulation.memory.applyDelayedCommits();
            break;
        case "freezeSoon":
            freezeSoon(simulation, step.node, step.pauses);
            break;
        case "thaw":
            simulation.nodes[step.node]!.table.onPause = (): void => {};
            simulation.nodes[step.node]!.host.thaw();
            break;
        case "crash":
            simulation.crash(step.node, step.known);
            break;
    }
    await flushTasks(2);
}

/** Throws if a guarantee of the claim store is violated. */
async function checkHistory(factory: ClaimStoreFactory, steps: readonly Step[]): Promise<void> {
    const simulation = new ClaimSimulation(nodeCount, factory);
    for (const step of steps) {
        await runStep(simulation, step);
    }
    simulation.nodes.forEach((node) => (node.table.onPause = (): void => {}));
    await simulation.recoverAll();
    for (const key of ["key-0", "key-1"]) {
        expect(simulation.countRuns(key), "runs").toBeLessThanOrEqual(1);
        // A crash may leave an open claim, which makes the key read as unknown. Without a crash no key stays blocked.
        const crashed = steps.some((step) => step.type === "crash");
        const request = simulation.request(0, key);
        await simulation.advance(6_000);
        const { result } = await request;
        const unsent = simulation.countRuns(key) === 0 || result?.type === "claimed";
        expect(simulation.countRuns(key), "runs after recovery").toBeLessThanOrEqual(1);
        if (!crashed) {
            expect(unsent ? "claimed" : result?.type, "repeat").toMatch(
                unsent ? /^claimed$/ : /^(answered|outcomeUnknown)$/,
            );
            expect(simulation.countRuns(key), "key stays blocked").toBe(1);
        }
    }
    for (const attempt of simulation.attempts) {
        expect(attempt.ran && attempt.result?.type !== "claimed", "ran without a claim").toBe(false);
    }
}

/** Sends the request although the store could not confirm the claim. */
class OptimisticClaimStore extends TableClaimStore {
    override async claimKey(request: ClaimRequest): Promise<ClaimResult> {
        const result = await super.claimKey(request);
        const claim = { key: request.idempotencyKey, token: "none", version: 0 };
        return result.type === "unavailable" ? { type: "claimed", claim } : result;
    }
}

/** Takes over the claim of an owner that is dead or slow. */
class TakingOverClaimStore extends TableClaimStore {
    override async claimKey(request: ClaimRequest): Promise<ClaimResult> {
        const result = await super.claimKey(request);
        const claim = { key: request.idempotencyKey, token: "none", version: 0 };
        return result.type === "outcomeUnknown" ? { type: "claimed", claim } : result;
    }
}

/** Drops the conditions of all transactions, so that an insert no longer requires the row to be absent. */
function withoutConditions(tableService: TableService): TableService {
    return {
        readRow: (table: string, key: string): Promise<Row | undefined> => tableService.readRow(table, key),
        scanRows: (table, options) => tableService.scanRows(table, options),
        commitTransaction: (transaction: Transaction) =>
            tableService.commitTransaction({ ...transaction, conditions: [] }),
    };
}

/** Does not release a claim after its attempt was given up. */
function createNonReleasingStore(options: TableClaimStoreOptions): ClaimStore {
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
    {
        name: "does not release claims that were given up",
        factory: createNonReleasingStore,
        failure: "key stays blocked",
    },
];

const steps = fc.array(stepArbitrary, { minLength: 4, maxLength: 40 });

describe("claims under random faults", () => {
    it("runs each key at most once and leaves none blocked", async () => {
        const property = fc.asyncProperty(steps, (history) => checkHistory(createStore, history));
        await fc.assert(property, { seed, numRuns: 300, ...inject("fuzz") });
    });

    it.each(mutants)("detects a store that $name", async ({ factory, failure }) => {
        const property = fc.asyncProperty(steps, (history) => checkHistory(factory, history));
        const details = await fc.check(property, { seed, numRuns: 300, endOnFailure: true });
        expect(String(details.errorInstance)).toContain(failure);
    });
});
