/**
 * Runs an experiment by name and reports the measures of each policy.
 *
 * @packageDocumentation
 */
import type { Report } from "../report/formatReport.js";
import type { RunMeasures } from "../report/measures.js";
import type { Deployment } from "./deployments.js";
import { peachtree, volantino } from "./deployments.js";
import { ExperimentRun } from "./experimentRun.js";
import { policyVariants } from "./policyVariants.js";
import { buildRunOptions, scenarios } from "./scenarios.js";

/** Options of an experiment. */
export interface ExperimentOptions {
    readonly name: string;
    readonly seed: number;
    readonly deployment: string;
}

/** @returns Names of the experiments that compare policies, without `decision-cost`. */
export function listExperiments(): string[] {
    return scenarios.map(({ name }) => name);
}

/**
 * Runs an experiment with each policy and the same arrivals.
 *
 * @param options - Name, seed and deployment.
 * @returns The report.
 * @throws Error when the name or the deployment is unknown.
 */
export function runExperiment(options: ExperimentOptions): Report {
    const deployment = findDeployment(options.deployment);
    const scenario = scenarios.find(({ name }) => name === options.name);
    if (scenario === undefined) {
        throw new Error(`unknown experiment ${options.name}; use one of ${listExperiments().join(", ")}`);
    }
    const runOptions = buildRunOptions(scenario, deployment, options.seed);
    const runs = policyVariants.map((variant) => new ExperimentRun({ ...runOptions, variant }).run());
    return {
        experiment: scenario.name,
        deployment: deployment.name,
        seed: options.seed,
        runs,
        notes: [scenario.description, formatScores(deployment, runs)],
    };
}

function findDeployment(name: string): Deployment {
    const deployment = [volantino, peachtree].find((candidate) => candidate.name === name);
    if (deployment === undefined) {
        throw new Error(`unknown deployment ${name}; use volantino or peachtree`);
    }
    return deployment;
}

function formatScores(deployment: Deployment, runs: readonly RunMeasures[]): string {
    const scores = runs.map((run) => `${run.policy} ${computeScore(deployment, run).toFixed(3)}`);
    return `score with the deployment's weights: ${scores.join(", ")}`;
}

function computeScore(deployment: Deployment, run: RunMeasures): number {
    const { urgent, worstCustomer, cheap } = deployment.weights;
    const measures = run.classes[deployment.urgentClass];
    const attained = measures === undefined ? 0 : measures.attained / Math.max(1, measures.offered);
    return urgent * attained + worstCustomer * run.worstCustomer + cheap * run.cheapShare;
}
