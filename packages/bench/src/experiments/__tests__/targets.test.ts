import { describe, expect, test } from "vitest";
import type { RunMeasures } from "../../report/measures.js";
import { peachtree, volantino } from "../deployments.js";
import { ExperimentRun } from "../experimentRun.js";
import type { PolicyVariant } from "../policyVariants.js";
import { fifoVariant, lentSlotsVariant, queueOwnerVariant, twoChoicesVariant } from "../policyVariants.js";
import { buildRunOptions, scenarios } from "../scenarios.js";

const seed = 1;
const deployments = [volantino, peachtree];

function runScenario(name: string, variant: PolicyVariant, deployment = volantino): RunMeasures {
    const scenario = scenarios.find((candidate) => candidate.name === name);
    if (scenario === undefined) {
        throw new Error(`unknown scenario ${name}`);
    }
    return new ExperimentRun({ ...buildRunOptions(scenario, deployment, seed), variant }).run();
}

function computeAttainment(run: RunMeasures, name: string): number {
    const measures = run.classes[name];
    return (measures?.attained ?? 0) / (measures?.offered ?? 1);
}

describe.each(deployments)("targets of $name", (deployment) => {
    test("burst: attainment of the urgent class, goodput, wasted tokens and overrun", () => {
        const reference = runScenario("unloaded", lentSlotsVariant, deployment);
        const run = runScenario("burst", lentSlotsVariant, deployment);
        const unloaded = computeAttainment(reference, deployment.urgentClass);
        expect(computeAttainment(run, deployment.urgentClass)).toBeGreaterThanOrEqual(0.99 * unloaded);
        expect(run.wastedTokens).toBeLessThan(0.02);
        expect(run.overrun).toBe(0);
        // The reference is the utilization that a single queue reaches with the same arrivals.
        const owner = runScenario("burst", queueOwnerVariant, deployment);
        expect(run.goodput).toBeGreaterThanOrEqual(0.95 * owner.utilization);
        expect(owner.worstCustomer).toBeGreaterThanOrEqual(0.9);
    });

    test("retry-storm: retries are at most a tenth of first attempts", () => {
        const run = runScenario("retry-storm", lentSlotsVariant, deployment);
        expect(run.retryShare).toBeGreaterThan(0);
        expect(run.retryShare).toBeLessThanOrEqual(0.1);
    });

    test("starve: each class gets its floor in every 10 s window, without tier violations", () => {
        const run = runScenario("starve", queueOwnerVariant, deployment);
        for (const measures of Object.values(run.classes)) {
            expect(measures.leastFloorShare ?? 1).toBeGreaterThanOrEqual(1);
            expect(measures.attained).toBeGreaterThan(0);
        }
        expect(run.tierViolations).toBe(0);
    });

    test("reclaim: no request fails and less than 2% of the tokens are wasted", () => {
        const run = runScenario("reclaim", lentSlotsVariant, deployment);
        const failed = Object.values(run.classes).reduce((sum, measures) => sum + measures.failed, 0);
        expect(failed).toBe(0);
        expect(run.wastedTokens).toBeLessThan(0.02);
    });

    test("node-loss: the lost node's slots are in use again within 2.4 s", () => {
        const run = runScenario("node-loss", lentSlotsVariant, deployment);
        // 2 s of silence until the other nodes remove the dead node, and 400 ms for a summary; counted
        // from 100 ms after its death.
        expect(run.strandedMs).toBeLessThanOrEqual(2_000 + 400);
    });

    test("the baselines miss the same targets", () => {
        const fifo = runScenario("burst", fifoVariant, deployment);
        expect(computeAttainment(fifo, deployment.urgentClass)).toBeLessThan(0.5);
        expect(fifo.overrun).toBeGreaterThan(0);
        expect(runScenario("burst", twoChoicesVariant, deployment).tierViolations).toBeGreaterThan(0);
    });
});

test("a seed gives the same measures on every run", () => {
    expect(runScenario("lag", lentSlotsVariant)).toEqual(runScenario("lag", lentSlotsVariant));
});
