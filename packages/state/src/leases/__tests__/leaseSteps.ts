/**
 * Random faults of hosts and of the table service, for stateful tests of leases and the duties that depend on them.
 *
 * @packageDocumentation
 */
import fc from "fast-check";
import type { CallFault } from "@pimentocleat/services";
import type { LeaseSimulation } from "./leaseSimulation.js";

export const nodeCount = 3;

const faults: readonly CallFault[] = ["none", "none", "none", "unavailable", "lostReply", "delayed"];
const nodeArbitrary = fc.nat(nodeCount - 1);

/** Generates one step of a history. */
export const stepArbitrary = fc.oneof(
    {
        weight: 4,
        arbitrary: fc.record({
            type: fc.constant("advance" as const),
            durationMs: fc.constantFrom(200, 1_000, 3_000, 9_000, 20_000),
        }),
    },
    {
        weight: 2,
        arbitrary: fc.record({
            type: fc.constant("faults" as const),
            plan: fc.array(fc.constantFrom(...faults), { minLength: 1, maxLength: 10 }),
        }),
    },
    { weight: 1, arbitrary: fc.record({ type: fc.constant("outage" as const) }) },
    { weight: 1, arbitrary: fc.record({ type: fc.constant("recover" as const) }) },
    { weight: 1, arbitrary: fc.record({ type: fc.constant("applyDelayed" as const) }) },
    {
        weight: 3,
        arbitrary: fc.record({
            type: fc.constant("freezeSoon" as const),
            node: nodeArbitrary,
            pauses: fc.nat(5),
        }),
    },
    { weight: 2, arbitrary: fc.record({ type: fc.constant("thaw" as const), node: nodeArbitrary }) },
    { weight: 1, arbitrary: fc.record({ type: fc.constant("crash" as const), node: nodeArbitrary }) },
    { weight: 1, arbitrary: fc.record({ type: fc.constant("stop" as const), node: nodeArbitrary }) },
);

/** One step of a history. */
export type LeaseStep = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

/**
 * Runs one step.
 *
 * @param simulation - The hosts and the table service.
 * @param step - The step.
 * @param check - Throws if a guarantee is violated; runs after each advance of the clock.
 */
export async function runLeaseStep(
    simulation: LeaseSimulation,
    step: LeaseStep,
    check: () => void,
): Promise<void> {
    switch (step.type) {
        case "advance":
            await simulation.advance(step.durationMs, check);
            break;
        case "faults": {
            let calls = 0;
            simulation.memory.setFaultPlan(() => step.plan[(calls += 1) % step.plan.length]!);
            break;
        }
        case "outage":
            simulation.memory.setFaultPlan(() => "unavailable");
            break;
        case "recover":
            simulation.memory.setFaultPlan(() => "none");
            break;
        case "applyDelayed":
            simulation.memory.applyDelayedCommits();
            break;
        case "freezeSoon":
            simulation.freezeSoon(step.node, step.pauses);
            break;
        case "thaw":
            simulation.thaw(step.node);
            break;
        case "crash":
            simulation.nodes[step.node]!.host.freeze();
            simulation.startNode(step.node);
            break;
        case "stop": {
            const node = simulation.nodes[step.node]!;
            node.stopping.abort();
            void node.manager.releaseAll();
            simulation.startNode(step.node);
            break;
        }
    }
    await simulation.advance(100, check);
}
