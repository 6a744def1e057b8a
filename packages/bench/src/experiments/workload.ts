/**
 * Generation of the seeded request arrivals of an experiment.
 *
 * @packageDocumentation
 */
import type { ClassLoad, Deployment } from "./deployments.js";
import { RandomSource } from "./randomSource.js";

/** A request that arrives in an experiment. */
export interface Arrival {
    readonly atMs: number;
    readonly requestId: string;
    readonly requestClass: string;
    readonly customer: string;
    readonly promptTokens: number;
    /** Actual length of the response in tokens, which the policy doesn't know. */
    readonly tokens: number;
    readonly prefixBlocks: readonly string[];
    readonly repeatable: boolean;
    /** Random number from 0 to 1 by which the load balancer chooses the node. */
    readonly nodeChoice: number;
}

/** Options of a workload. */
export interface WorkloadOptions {
    readonly seed: number;
    readonly durationMs: number;
    /** Returns the load of a class at a time; at 1 it asks for exactly its share of the capacity. */
    readonly getLoad: (requestClass: string, atMs: number) => number;
    /** Returns the relative number of requests of a customer; 1 for each customer when absent. */
    readonly getCustomerWeight?: (customer: string, requestClass: string) => number;
    /** Builds the prefix blocks of a request; it has none when absent. */
    readonly buildPrefix?: (random: RandomSource) => readonly string[];
    /** Prompt tokens of each request; the class's mean when absent. */
    readonly promptTokens?: number;
}

/** Speed of the engines in experiments: prefill rate, and time to generate one token. */
export const engineSpeed = { prefillTokensPerMs: 10, tokenMs: 20 };

/**
 * Generates the arrivals of all classes.
 *
 * @param deployment - Deployment whose classes, customers and servers the workload uses.
 * @param options - Seed, duration and load.
 * @returns The arrivals, in order of time.
 */
export function buildArrivals(deployment: Deployment, options: WorkloadOptions): Arrival[] {
    const random = new RandomSource(options.seed);
    const arrivals = deployment.loads.flatMap((load) =>
        buildClassArrivals(deployment, load, options, random),
    );
    return arrivals.toSorted((left, right) => left.atMs - right.atMs);
}

/**
 * Computes the mean service time of a class without cached prefixes.
 *
 * @param load - Mean sizes of the class's requests.
 * @returns Mean time that a request occupies a slot, in milliseconds.
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
        // While the class has no load, check again after 100 ms.
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
            // Uniformly distributed from 25% to 175% of the class's mean.
            tokens: Math.max(1, Math.round(load.tokens * (0.25 + 1.5 * random.next()))),
            prefixBlocks: options.buildPrefix?.(random) ?? [],
            repeatable: true,
            nodeChoice: random.next(),
        });
    }
}
