/**
 * Seeded arrivals for an experiment.
 *
 * @packageDocumentation
 */
import type { ClassLoad, Deployment } from "./deployments.js";
import { RandomSource } from "./randomSource.js";

/** One arriving request. */
export interface Arrival {
    readonly atMs: number;
    readonly requestId: string;
    readonly requestClass: string;
    readonly customer: string;
    readonly promptTokens: number;
    /** True length of the answer, unknown to the policy. */
    readonly tokens: number;
    readonly prefixBlocks: readonly string[];
    readonly repeatable: boolean;
    /** Position in the balancer's choice of a node, 0 to 1. */
    readonly nodeChoice: number;
}

/** How a workload differs from an even load of 1. */
export interface WorkloadOptions {
    readonly seed: number;
    readonly durationMs: number;
    /** Load of a class at a time; 1 is its share of the capacity. */
    readonly getLoad: (requestClass: string, atMs: number) => number;
    /** Relative number of requests of a customer; 1 when absent. */
    readonly getCustomerWeight?: (customer: string, requestClass: string) => number;
    /** Prefix blocks of a request; none when absent. */
    readonly buildPrefix?: (random: RandomSource) => readonly string[];
    /** Prompt tokens instead of the class's mean. */
    readonly promptTokens?: number;
}

/** Speed of the engines in experiments. */
export const engineSpeed = { prefillTokensPerMs: 10, tokenMs: 20 };

/**
 * Builds the arrivals of all classes, in order of time.
 *
 * @param deployment - Sizes and classes.
 * @param options - Seed, duration and load.
 * @returns The arrivals.
 */
export function buildArrivals(deployment: Deployment, options: WorkloadOptions): Arrival[] {
    const random = new RandomSource(options.seed);
    const arrivals = deployment.loads.flatMap((load) =>
        buildClassArrivals(deployment, load, options, random),
    );
    return arrivals.toSorted((left, right) => left.atMs - right.atMs);
}

/**
 * @param load - A class's sizes.
 * @returns Mean time that a request holds a slot, in milliseconds.
 */
export function computeMeanServiceMs(load: ClassLoad): number {
    return load.promptTokens / engineSpeed.prefillTokensPerMs + load.tokens * engineSpeed.tokenMs;
}

function buildClassArrivals(
    deployment: Deployment,
    load: ClassLoad,
    options: WorkloadOptions,
    random: RandomSource,
): Arrival[] {
    const { pool, customers } = deployment.configuration;
    const slots = pool.servers.reduce((sum, server) => sum + server.slots, 0);
    const baseRatePerMs = (slots * load.capacityShare) / computeMeanServiceMs(load);
    const choices = customers.map(({ name }) => ({
        value: name,
        weight: options.getCustomerWeight?.(name, load.requestClass) ?? 1,
    }));
    const arrivals: Arrival[] = [];
    let atMs = 0;
    while (true) {
        const rate = baseRatePerMs * options.getLoad(load.requestClass, atMs);
        // While a class is silent, look again soon.
        atMs += rate > 0 ? random.nextExponential(1 / rate) : 100;
        if (atMs >= options.durationMs) {
            return arrivals;
        }
        if (rate <= 0) {
            continue;
        }
        const customer = random.choose(choices);
        arrivals.push({
            atMs,
            requestId: `${load.requestClass}-${arrivals.length}`,
            requestClass: load.requestClass,
            customer,
            promptTokens: options.promptTokens ?? load.promptTokens,
            tokens: Math.max(1, Math.round(load.tokens * (0.25 + 1.5 * random.next()))),
            prefixBlocks: options.buildPrefix?.(random) ?? [],
            repeatable: true,
            nodeChoice: random.next(),
        });
    }
}
