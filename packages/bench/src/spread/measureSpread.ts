/**
 * Measures how long a saved configuration and a withdrawal take until every node acts on them.
 *
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import type { Clock, WaitingClock } from "@pimentocleat/types";
import { DaemonFleet, type FleetNode } from "./daemonFleet.js";

const pollMs = 10;
const limitMs = 60_000;

/** A situation in which is measured. */
export interface SpreadSituation {
    readonly title: string;
    /** Extra time that each call of the table service takes, in milliseconds. */
    readonly storeDelayMs: number;
    /** How long one node is stopped by SIGSTOP around each change, in milliseconds; 0 for not at all. */
    readonly pauseMs: number;
}

/** Figures of one situation, in milliseconds. */
export interface SpreadFigures {
    readonly title: string;
    readonly samples: number;
    readonly medianMs: number;
    readonly worstMs: number;
}

/** Options of {@link measureSpread}. */
export interface SpreadOptions {
    readonly nodeCount: number;
    readonly rounds: number;
    readonly clock: WaitingClock;
    readonly situations: readonly SpreadSituation[];
}

/** The situations that are measured unless others are given. */
export const defaultSituations: readonly SpreadSituation[] = [
    { title: "calm", storeDelayMs: 0, pauseMs: 0 },
    { title: "one node stopped and continued", storeDelayMs: 0, pauseMs: 3_000 },
    { title: "store takes 500 ms a call", storeDelayMs: 500, pauseMs: 0 },
];

interface Round {
    readonly number: number;
    readonly secret: string;
    readonly keyId: string;
}

function buildRounds(count: number): readonly Round[] {
    return [...Array(count).keys()].map((number) => ({
        number,
        keyId: `bench-${String(number)}`,
        secret: `bench-secret-${String(number)}`,
    }));
}

function buildConfiguration(rounds: readonly Round[]): string {
    const keys = rounds.map(({ keyId, secret }) => {
        const digest = createHash("sha256").update(secret).digest("hex");
        return `  - { id: ${keyId}, customer: bench, digest: ${digest}, defaultClass: quick }`;
    });
    return [
        "customers: [{ name: bench }]",
        "classes: [{ name: quick, tier: 1, firstTokenMs: 500, completeMs: 5000 }]",
        "pools: [{ name: empty, kind: plain }]",
        "routes: [{ path: /probe, methods: [GET], pool: empty, repeatable: true }]",
        "keys:",
        ...keys,
    ].join("\n");
}

function summarizeTimes(title: string, times: readonly number[]): SpreadFigures {
    const sorted = [...times].sort((left, right) => left - right);
    return {
        title,
        samples: sorted.length,
        medianMs: Math.round(sorted[Math.floor(sorted.length / 2)] ?? 0),
        worstMs: Math.round(sorted.at(-1) ?? 0),
    };
}

async function waitUntil(
    clock: WaitingClock,
    startedMs: number,
    isDone: () => Promise<boolean>,
): Promise<number> {
    while (!(await isDone())) {
        if (clock.monotonicMs() - startedMs > limitMs) {
            throw new Error("a node did not follow within a minute");
        }
        await clock.wait(pollMs);
    }
    return clock.monotonicMs() - startedMs;
}

/** Runs a change and measures each node; a stopped node from its continuation on. */
async function measureChange(
    fleet: DaemonFleet,
    situation: SpreadSituation,
    clock: WaitingClock,
    run: { change: () => Promise<void>; isInForce: (node: FleetNode) => Promise<boolean> },
): Promise<readonly number[]> {
    const stopped = situation.pauseMs === 0 ? undefined : fleet.nodes.at(-1);
    stopped?.program.sendSignal("SIGSTOP");
    try {
        await run.change();
        const startedMs = readNow(clock);
        const others = fleet.nodes.filter((node) => node !== stopped);
        const times = await Promise.all(
            others.map((node) => waitUntil(clock, startedMs, () => run.isInForce(node))),
        );
        if (stopped === undefined) {
            return times;
        }
        await clock.wait(situation.pauseMs - (readNow(clock) - startedMs));
        stopped.program.sendSignal("SIGCONT");
        return [...times, await waitUntil(clock, readNow(clock), () => run.isInForce(stopped))];
    } finally {
        stopped?.program.sendSignal("SIGCONT");
    }
}

function readNow(clock: Clock): number {
    return clock.monotonicMs();
}

async function applyFile(fleet: DaemonFleet, name: string, content: string): Promise<number> {
    const changes = [{ name, content }];
    const answer = await fleet.nodes[0]?.sendOperatorCall("ApplyConfiguration", { author: "bench", changes });
    if (answer?.["outcome"] !== "APPLY_OUTCOME_APPLIED") {
        throw new Error(`apply failed: ${JSON.stringify(answer)}`);
    }
    return Number(answer["revision"]);
}

async function hasRevision(node: FleetNode, revision: number): Promise<boolean> {
    const status = (await node.sendOperatorCall("GetStatus", {}))["node"] as Record<string, unknown>;
    return Number(status["revision"] ?? 0) >= revision;
}

async function measureSituation(
    fleet: DaemonFleet,
    situation: SpreadSituation,
    clock: WaitingClock,
    rounds: readonly Round[],
): Promise<readonly SpreadFigures[]> {
    await fleet.setStoreDelay(situation.storeDelayMs);
    const applyTimes: number[] = [];
    const withdrawTimes: number[] = [];
    for (const { number, keyId, secret } of rounds) {
        let revision = Number.POSITIVE_INFINITY;
        const name = `extra-${String(number)}.yaml`;
        applyTimes.push(
            ...(await measureChange(fleet, situation, clock, {
                change: async () => {
                    revision = await applyFile(
                        fleet,
                        name,
                        `customers: [{ name: extra-${String(number)} }]\n`,
                    );
                },
                isInForce: (node) => hasRevision(node, revision),
            })),
        );
        withdrawTimes.push(
            ...(await measureChange(fleet, situation, clock, {
                change: async () => {
                    await fleet.nodes[0]?.sendOperatorCall("WithdrawKey", { author: "bench", keyId });
                },
                isInForce: async (node) => (await node.sendCallerRequest(secret)).includes("key_withdrawn"),
            })),
        );
    }
    await fleet.setStoreDelay(0);
    return [
        summarizeTimes(`configuration, ${situation.title}`, applyTimes),
        summarizeTimes(`withdrawal, ${situation.title}`, withdrawTimes),
    ];
}

/**
 * Measures the spread with real processes.
 *
 * @param options - Number of nodes, rounds and situations.
 * @returns Figures of each situation, for configuration and withdrawals.
 */
export async function measureSpread(options: SpreadOptions): Promise<readonly SpreadFigures[]> {
    const { nodeCount, rounds: roundCount, clock, situations } = options;
    const fleet = await DaemonFleet.start(nodeCount);
    try {
        const rounds = buildRounds(roundCount * situations.length);
        const revision = await applyFile(fleet, "base.yaml", buildConfiguration(rounds));
        const startedMs = readNow(clock);
        await Promise.all(
            fleet.nodes.map((node) => waitUntil(clock, startedMs, () => hasRevision(node, revision))),
        );
        const figures: SpreadFigures[] = [];
        for (const [index, situation] of situations.entries()) {
            const own = rounds.slice(index * roundCount, (index + 1) * roundCount);
            figures.push(...(await measureSituation(fleet, situation, clock, own)));
        }
        return figures;
    } finally {
        await fleet.stop();
    }
}
