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
        throw new Error(`no scenario ${name}`);
    }
    return new ExperimentRun({ ...buildRunOptions(scenario, deployment, seed), variant }).run();
}

function readAttainment(run: RunMeasures, name: string): number {
    const measures = run.classes[name];
    return (measures?.attained ?? 0) / (measures?.offered ?? 1);
}

describe.each(deployments)("targets of $name", (deployment) => {
    test("burst: the urgent class, goodput, waste and slots", () => {
        const reference = runScenario("unloaded", lentSlotsVariant, deployment);
        const run = runScenario("burst", lentSlotsVariant, deployment);
        const unloaded = readAttainment(reference, deployment.urgentClass);
        expect(readAttainment(run, deployment.urgentClass)).toBeGreaterThanOrEqual(0.99 * unloaded);
        expect(run.wastedTokens).toBeLessThan(0.02);
        expect(run.overrun).toBe(0);
        // What the engines can do: the use that one queue reaches with the same arrivals.
        const owner = runScenario("burst", queueOwnerVariant, deployment);
        expect(run.goodput).toBeGreaterThanOrEqual(0.95 * owner.utilization);
        expect(owner.worstCustomer).toBeGreaterThanOrEqual(0.9);
    });

    test("retry-storm: retries add at most a tenth", () => {
        const run = runScenario("retry-storm", lentSlotsVariant, deployment);
        expect(run.retryShare).toBeGreaterThan(0);
        expect(run.retryShare).toBeLessThanOrEqual(0.1);
    });

    test("starve: each class gets its floor in every 10 s window, and no tier is passed over", () => {
        const run = runScenario("starve", queueOwnerVariant, deployment);
        for (const measures of Object.values(run.classes)) {
            expect(measures.leastFloorShare ?? 1).toBeGreaterThanOrEqual(1);
            expect(measures.attained).toBeGreaterThan(0);
        }
        expect(run.tierViolations).toBe(0);
    });

    test("reclaim: no answer is lost and little is wasted", () => {
        const run = runScenario("reclaim", lentSlotsVariant, deployment);
        const failed = Object.values(run.classes).reduce((sum, measures) => sum + measures.failed, 0);
        expect(failed).toBe(0);
        expect(run.wastedTokens).toBeLessThan(0.02);
    });

    test("node-loss: the lost node's slots are in use again within the stated 2 s and a summary", () => {
        const run = runScenario("node-loss", lentSlotsVariant, deployment);
        expect(run.strandedMs).toBeLessThanOrEqual(2_000 + 400);
    });

    test("the same bounds catch the baselines", () => {
        const fifo = runScenario("burst", fifoVariant, deployment);
        expect(readAttainment(fifo, deployment.urgentClass)).toBeLessThan(0.5);
        expect(fifo.overrun).toBeGreaterThan(0);
        expect(runScenario("burst", twoChoicesVariant, deployment).tierViolations).toBeGreaterThan(0);
    });
});

test("a seed gives the same measures each time", () => {
    expect(runScenario("lag", lentSlotsVariant)).toEqual(runScenario("lag", lentSlotsVariant));
});
