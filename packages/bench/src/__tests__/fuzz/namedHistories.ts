/**
 * Histories that random seeds found, or that lead one broken version to a violation that the oracle reports.
 *
 * @packageDocumentation
 */
import type { SystemStep } from "./systemSteps.js";

const allNodes = [0, 1, 2];

function wait(durationMs: Extract<SystemStep, { type: "wait" }>["durationMs"]): SystemStep {
    return { type: "wait", durationMs };
}

function repeat(count: number, steps: readonly SystemStep[]): readonly SystemStep[] {
    return Array.from({ length: count }, () => steps).flat();
}

/** Found by seed 20261203: queued requests were sent after the node had lost contact with the store. */
export const waitingWhileCutOff: readonly SystemStep[] = [
    { type: "wire", backend: ["none", "lostBefore"], wire: ["none"] },
    { type: "cut", node: 0 },
    { type: "burst", node: 0, runMs: 2_000 },
    { type: "request", node: 0, key: 0, tier: 1, count: 3 },
    wait(13_000),
];

/** Found by seeds 20261203 and 3: a node that started while a server was leaving was never notified of it. */
export const startedWhileLeaving: readonly SystemStep[] = [
    { type: "leave", server: 0 },
    { type: "crash", node: 0 },
    wait(13_000),
    { type: "burst", node: 0, runMs: 100 },
    wait(1_000),
];

/** Requests of the highest tier occupy all servers while requests of the lowest tier wait. */
export const overload: readonly SystemStep[] = [
    { type: "burst", node: 0, runMs: 500 },
    ...repeat(30, [
        { type: "request", node: 0, key: 0, tier: 0, count: 12 },
        { type: "request", node: 0, key: 1, tier: 2, count: 1 },
        ...repeat(5, [wait(100)]),
    ]),
];

/**
 * Each node in turn is suspended for longer than its leases; the number of desired servers changes before it
 * resumes.
 */
export const holdersFrozen: readonly SystemStep[] = allNodes.flatMap((node) => [
    { type: "want" as const, count: 2 },
    wait(6_000),
    { type: "freeze" as const, node },
    ...repeat(2, [wait(13_000)]),
    { type: "want" as const, count: 4 },
    { type: "thaw" as const, node },
    wait(6_000),
]);

/** Nodes with unwritten usage are suspended until its window is sealed, while responses to reports are lost. */
export const usageLate: readonly SystemStep[] = allNodes.flatMap((suspended) => [
    wait(1_000),
    { type: "wire" as const, backend: ["none" as const], wire: ["lostAnswer" as const] },
    ...allNodes.map((node) => ({ type: "request" as const, node, key: 0, tier: 0, count: 3 })),
    ...repeat(3, [wait(100)]),
    { type: "freeze" as const, node: suspended },
    ...repeat(2, [wait(13_000)]),
    { type: "thaw" as const, node: suspended },
    wait(13_000),
]);

/** A peer that missed an edit resumes during a store outage; which node contacts it first is random. */
export const laggingPeer: readonly SystemStep[] = repeat(6, [
    { type: "freeze" as const, node: 2 },
    { type: "edit" as const, files: [0] },
    wait(6_000),
    { type: "outage" as const, isOut: true },
    { type: "thaw" as const, node: 2 },
    wait(13_000),
    { type: "outage" as const, isOut: false },
    wait(6_000),
]);
