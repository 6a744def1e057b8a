/**
 * Random commands to the whole system: requests of callers, actions of operators, and faults of hosts, store,
 * network and servers.
 *
 * @packageDocumentation
 */
import fc from "fast-check";
import type { WireFault } from "../../../../state/src/orders/__tests__/orderSimulation.js";
import type { BackendFault } from "./fakeBackend.js";
import type { SystemHistory } from "./systemHistory.js";
import { keyIds, nodeCount, routes, serverCount } from "./baseConfiguration.js";

const backendFaults: readonly BackendFault[] = [
    "none",
    "none",
    "none",
    "connectFailed",
    "rejected",
    "lostBefore",
    "lostAfter",
    "failedStatus",
];
const wireFaults: readonly WireFault[] = ["none", "none", "slow", "lostOrder", "lostAnswer"];
const node = fc.nat(nodeCount - 1);
const key = fc.nat(keyIds.length - 1);

function define<Type extends string, Fields extends object>(
    type: Type,
    fields: { [Name in keyof Fields]: fc.Arbitrary<Fields[Name]> },
): fc.Arbitrary<{ type: Type } & Fields> {
    return fc.record({ type: fc.constant(type), ...fields }) as unknown as fc.Arbitrary<
        { type: Type } & Fields
    >;
}

const callerSteps = [
    {
        weight: 6,
        arbitrary: define("request", { node, key, tier: fc.nat(routes.length - 1), count: fc.nat(12) }),
    },
    {
        weight: 5,
        arbitrary: define("order", { nodes: fc.array(node, { maxLength: 3 }), key, id: fc.nat(2) }),
    },
    { weight: 2, arbitrary: define("burst", { node, runMs: fc.constantFrom(100, 500, 2_000) }) },
] as const;
const operatorSteps = [
    { weight: 2, arbitrary: define("edit", { files: fc.array(fc.nat(1), { minLength: 1, maxLength: 2 }) }) },
    { weight: 1, arbitrary: define("withdraw", { node, key }) },
    { weight: 1, arbitrary: define("want", { count: fc.integer({ min: 1, max: 5 }) }) },
] as const;
const faultSteps = [
    { weight: 1, arbitrary: define("crash", { node }) },
    { weight: 2, arbitrary: define("freeze", { node }) },
    { weight: 3, arbitrary: define("thaw", { node }) },
    { weight: 1, arbitrary: define("cut", { node }) },
    { weight: 1, arbitrary: define("outage", { isOut: fc.boolean() }) },
    {
        weight: 1,
        arbitrary: define("lose", {
            lost: fc.constantFrom(0, 0.2, 0.4),
            delayed: fc.constantFrom(0, 0.1, 0.3),
        }),
    },
    { weight: 1, arbitrary: define("applyDelayed", {}) },
    { weight: 1, arbitrary: define("leave", { server: fc.nat(serverCount - 1) }) },
    {
        weight: 2,
        arbitrary: define("wire", {
            backend: fc.array(fc.constantFrom(...backendFaults), { minLength: 1, maxLength: 6 }),
            wire: fc.array(fc.constantFrom(...wireFaults), { minLength: 1, maxLength: 5 }),
        }),
    },
] as const;
const waitStep = {
    weight: 8,
    arbitrary: define("wait", { durationMs: fc.constantFrom(100, 1_000, 6_000, 13_000) }),
} as const;

const stepArbitrary = fc.oneof(...callerSteps, ...operatorSteps, ...faultSteps, waitStep);

/** Command to the system. */
export type SystemStep = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

/** Generates random histories. */
export const historyArbitrary: fc.Arbitrary<SystemStep[]> = fc.array(stepArbitrary, {
    minLength: 5,
    maxLength: 30,
});

/** Runs one command. */
export async function runStep(history: SystemHistory, step: SystemStep): Promise<void> {
    const { simulation } = history;
    switch (step.type) {
        case "request":
            return history.sendRequests(step.node, step.key, routes[step.tier]!, step.count);
        case "order":
            return step.nodes.forEach((index) => history.sendOrder(index, step.key, step.id));
        case "burst":
            simulation.runMs = step.runMs;
            return routes.forEach((route) => history.sendRequests(step.node, 0, route, 15));
        case "edit":
            return history.edit(step.files);
        case "withdraw":
            return history.withdraw(step.node, keyIds[step.key]!);
        case "want":
            simulation.desiredCount = step.count;
            return;
        case "wait":
            return simulation.advance(step.durationMs, keyIds);
        default:
            return runFault(history, step);
    }
}

type FaultStep = (typeof faultSteps)[number]["arbitrary"] extends fc.Arbitrary<infer Value> ? Value : never;

function runFault({ simulation }: SystemHistory, step: FaultStep): void {
    switch (step.type) {
        case "crash":
            return simulation.crashNode(step.node);
        case "freeze":
            return simulation.freezeNode(step.node);
        case "thaw":
            return simulation.nodes[step.node]!.gate.open();
        case "cut":
            simulation.nodes[step.node]!.isCut = !simulation.nodes[step.node]!.isCut;
            return;
        case "outage":
            simulation.isStoreDown = step.isOut;
            return;
        case "lose":
            simulation.lostReplyShare = step.lost;
            simulation.delayedEffectShare = step.delayed;
            return;
        case "applyDelayed":
            return simulation.table.applyDelayedCommits();
        case "leave":
            return simulation.startLeaving(step.server);
        case "wire": {
            const next = { backend: 0, order: 0, report: 0 };
            simulation.planBackend = () => step.backend[(next.backend += 1) % step.backend.length]!;
            simulation.receiver.planWire = () => step.wire[(next.order += 1) % step.wire.length]!;
            simulation.planReport = () => step.wire[(next.report += 1) % step.wire.length]!;
        }
    }
}
