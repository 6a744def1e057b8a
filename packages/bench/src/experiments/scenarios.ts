/**
 * The scenarios of the experiments: each defines a workload and the faults to inject.
 *
 * @packageDocumentation
 */
import type { Deployment } from "./deployments.js";
import type { Fault, RunOptions } from "./runContext.js";
import { stopNodeBriefly, removeServers, stopNode } from "./runFaults.js";
import type { WorkloadOptions } from "./workload.js";
import { buildArrivals } from "./workload.js";

/** Options of a run that a scenario sets, such as faults. */
export type ScenarioOptions = Omit<RunOptions, "deployment" | "variant" | "seed" | "durationMs" | "arrivals">;

/** A workload with faults, under which the policies are compared. */
export interface Scenario {
    readonly name: string;
    readonly description: string;
    readonly durationMs: number;
    readonly buildWorkload: (deployment: Deployment) => Omit<WorkloadOptions, "seed" | "durationMs">;
    readonly buildOptions?: (deployment: Deployment) => ScenarioOptions;
}

const overloadFactor = 2;
const heavyCustomerWeight = 20;
const failureShare = 0.5;
/** Number of prefix blocks of a guide, a text with which many prompts begin. */
const guideBlocks = 24;
const guideCount = 12;
/** Length of a prompt that begins with a guide, in tokens. */
const guideTokens = 6_000;

function isTopTier(deployment: Deployment, requestClass: string): boolean {
    const { classes } = deployment.configuration;
    return classes.some(({ name, tier }) => name === requestClass && tier === 1);
}

function listServers(deployment: Deployment): string[] {
    return deployment.configuration.pool.servers.map(({ name }) => name);
}

function listEveryThirdServer(deployment: Deployment): string[] {
    return listServers(deployment).filter((name, index) => name !== "" && index % 3 === 0);
}

function updateEngines(
    servers: readonly string[],
    change: { slowdownFactor?: number; failureShare?: number },
): Fault["apply"] {
    return (run) => {
        for (const server of servers) {
            const engine = run.engines.get(server);
            if (engine !== undefined) {
                engine.slowdownFactor = change.slowdownFactor ?? engine.slowdownFactor;
                engine.failureShare = change.failureShare ?? engine.failureShare;
            }
        }
    };
}

const unloaded: Scenario = {
    name: "unloaded",
    description: "Half of the capacity is asked for; the reference for attainment.",
    durationMs: 60_000,
    buildWorkload: () => ({ getLoad: () => 0.5 }),
};

const burst: Scenario = {
    name: "burst",
    description: "Twice the capacity: the lower tiers burst; the top tier fits in the capacity.",
    durationMs: 60_000,
    buildWorkload: (deployment) => ({
        getLoad: (requestClass) => (isTopTier(deployment, requestClass) ? 1 : 3),
    }),
};

const starve: Scenario = {
    name: "starve",
    description: "The top tier alone asks for more than the capacity.",
    durationMs: 60_000,
    buildWorkload: (deployment) => ({
        getLoad: (requestClass) => (isTopTier(deployment, requestClass) ? 3 : 1),
    }),
};

const heavyCustomer: Scenario = {
    name: "heavy-customer",
    description: "One of ten customers sends two thirds of a load of twice the capacity.",
    durationMs: 60_000,
    buildWorkload: () => ({
        getLoad: () => overloadFactor,
        getCustomerWeight: (customer) => (customer === "customer-1" ? heavyCustomerWeight : 1),
    }),
};

const straggler: Scenario = {
    name: "straggler",
    description: "One engine becomes five times slower at 15 s; load 0.7.",
    durationMs: 60_000,
    buildWorkload: () => ({ getLoad: () => 0.7 }),
    buildOptions: (deployment) => ({
        faults: [
            {
                atMs: 15_000,
                apply: updateEngines(listServers(deployment).slice(0, 1), { slowdownFactor: 5 }),
            },
        ],
    }),
};

const lag: Scenario = {
    name: "lag",
    description: "Load reports are 2 s old when they arrive; load 1.2.",
    durationMs: 60_000,
    buildWorkload: () => ({ getLoad: () => 1.2 }),
    buildOptions: () => ({ reportLagMs: 2_000 }),
};

const prefix: Scenario = {
    name: "prefix",
    description: "Prompts begin with one of 12 long guides; a fifth of the cache events is lost; load 0.7.",
    durationMs: 60_000,
    buildWorkload: () => ({
        getLoad: () => 0.7,
        promptTokens: guideTokens,
        buildPrefix: (random) => {
            const guide = Math.floor(random.next() * guideCount);
            return Array.from(Array(guideBlocks).keys(), (block) => `${guide}/${block}`);
        },
    }),
    buildOptions: () => ({ cacheEventLossShare: 0.2, cacheBlocks: guideBlocks * 4 }),
};

const reclaim: Scenario = {
    name: "reclaim",
    description: "The cheap data centre is reclaimed at 20 s with 5 s notice and not replaced; load 0.9.",
    durationMs: 60_000,
    buildWorkload: () => ({ getLoad: () => 0.9 }),
    buildOptions: (deployment) => {
        const { servers } = deployment.configuration.pool;
        const cheap = servers.filter(({ reclaimable }) => reclaimable).map(({ name }) => name);
        return { faults: [{ atMs: 20_000, apply: (run) => removeServers(run, cheap, 5_000) }] };
    },
};

const retryStorm: Scenario = {
    name: "retry-storm",
    description: "From 15 s to 40 s a third of the engines fail half of their requests; load 0.8.",
    durationMs: 60_000,
    buildWorkload: () => ({ getLoad: () => 0.8 }),
    buildOptions: (deployment) => ({
        faults: [
            { atMs: 15_000, apply: updateEngines(listEveryThirdServer(deployment), { failureShare }) },
            { atMs: 40_000, apply: updateEngines(listEveryThirdServer(deployment), { failureShare: 0 }) },
        ],
    }),
};

const nodeLoss: Scenario = {
    name: "node-loss",
    description: "At 20 s a node dies, at 30 s another freezes for 8 s; load 1.3.",
    durationMs: 60_000,
    buildWorkload: () => ({ getLoad: () => 1.3 }),
    buildOptions: () => ({
        recoveryStartMs: 20_100,
        faults: [
            { atMs: 20_000, apply: (run) => run.nodes.slice(0, 1).forEach((node) => stopNode(run, node)) },
            {
                atMs: 30_000,
                apply: (run) => run.nodes.slice(1, 2).forEach((node) => stopNodeBriefly(run, node, 8_000)),
            },
        ],
    }),
};

/** All scenarios, in the order of the command's help text. */
export const scenarios: readonly Scenario[] = [
    unloaded,
    burst,
    starve,
    heavyCustomer,
    straggler,
    lag,
    prefix,
    reclaim,
    retryStorm,
    nodeLoss,
];

/**
 * Builds the options of a run of a scenario.
 *
 * @param scenario - The scenario.
 * @param deployment - The deployment.
 * @param seed - Seed of the workload and the faults.
 * @returns The options, without the policy.
 */
export function buildRunOptions(
    scenario: Scenario,
    deployment: Deployment,
    seed: number,
): Omit<RunOptions, "variant"> {
    const { durationMs } = scenario;
    const workload = { ...scenario.buildWorkload(deployment), seed, durationMs };
    return {
        ...scenario.buildOptions?.(deployment),
        deployment,
        seed,
        durationMs,
        arrivals: buildArrivals(deployment, workload),
    };
}
