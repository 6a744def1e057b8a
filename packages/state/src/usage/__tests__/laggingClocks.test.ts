/** Returns of the store while nodes are suspended whose wall clocks lag for a moment afterwards. */
import { describe, expect, it } from "vitest";
import type { LeaseNode } from "../../leases/__tests__/leaseSimulation.js";
import { scenarioNodes, StoreCopyScenario } from "./storeCopyScenario.js";

const warmUpMs = 15_000;
const aftermathMs = 20_000;
/** Number of reports during the suspension; the store goes away at the last one. */
const reportsBeforeReturn = 2;
/** Moments of the suspension relative to the windows, in milliseconds. */
const offsetsMs: readonly number[] = [600, 1_000, 1_400];
const agesMs: readonly number[] = [2_000, 4_000, 8_000];

/** Lets the time that the nodes agree on, but not the clock of the host, lag for a time from now. */
function delayAgreedTime({ host }: LeaseNode, lagMs: number, durationMs: number): void {
    const endMs = host.monotonicMs() + durationMs;
    const readWallMs = host.wallMs.bind(host);
    host.wallMs = (): number => readWallMs() - (host.monotonicMs() < endMs ? lagMs : 0);
}

async function findViolation(
    offsetMs: number,
    ageMs: number,
    suspensionMs: number,
    lagDurationMs: number,
): Promise<string | undefined> {
    const scenario = new StoreCopyScenario({ seed: offsetMs + ageMs + suspensionMs });
    const { simulation } = scenario;
    const { leases } = simulation;
    await scenario.advance(warmUpMs + offsetMs);
    const reporter = scenario.findReporter();
    const others = [...Array(scenarioNodes).keys()].filter((index) => index !== reporter);
    others.forEach((index) => leases.nodes[index]!.host.freeze());
    let reports = 0;
    simulation.onReport = (): void => {
        reports += 1;
        if (reports === reportsBeforeReturn) {
            leases.cutOff.add(reporter);
            scenario.returnStore(ageMs, 0);
        }
    };
    await scenario.advance(suspensionMs);
    for (const index of others) {
        delayAgreedTime(leases.nodes[index]!, suspensionMs, lagDurationMs);
        leases.thaw(index);
    }
    await scenario.advance(aftermathMs);
    return scenario.findReportViolation();
}

describe.each([6_000, 9_000])(
    "a store that comes back while nodes are suspended for %i ms",
    (suspensionMs) => {
        // Guards against a second figure from a node that dates the new era by a clock that lags after its suspension.
        it.each([0, 1_000, 3_000])(
            "gets one figure if their clocks lag for %i ms afterwards",
            async (lagMs) => {
                const violations: (string | undefined)[] = [];
                for (const offsetMs of offsetsMs) {
                    for (const ageMs of agesMs) {
                        violations.push(await findViolation(offsetMs, ageMs, suspensionMs, lagMs));
                    }
                }
                expect(violations.filter((violation) => violation !== undefined)).toEqual([]);
            },
        );
    },
);
