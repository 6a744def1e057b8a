/**
 * Runs the duties of whole deployments through series of overlapping faults, and judges them as the platform does. The
 * variables PIMENTOCLEAT_FUZZ_SEED and PIMENTOCLEAT_FUZZ_RUNS replace the first seed and the number of plays of each row.
 */
import { EraObservation, LeaseManager } from "@pimentocleat/state";
import { ManualClock } from "@pimentocleat/types";
import { afterEach, describe, expect, inject, it, vi } from "vitest";
import { runPlay, type ClockErrors, type PlayOptions } from "./dutyFaults.js";

/** Wall time at which each play starts, in milliseconds since the Unix epoch. */
const startWallMs = new ManualClock().wallMs();
/** Maximum number of plays until the violations of a mutant must be found. */
const mutantPlays = 60;

async function findViolation(options: PlayOptions): Promise<string | undefined> {
    const { violations, faults, simulation } = await runPlay(options);
    if (process.env["PIMENTOCLEAT_MEASURE"] !== undefined) {
        const { nodeCount, seed, clocks } = options;
        console.info(nodeCount, clocks, `seed ${String(seed)}:`, simulation.reports.length, violations);
    }
    return violations.length === 0
        ? undefined
        : `seed ${String(options.seed)}: ${violations.join(", ")} (${faults.join("; ")})`;
}

async function findFirstViolation(clocks: ClockErrors): Promise<string | undefined> {
    for (let seed = 1; seed <= mutantPlays; seed += 1) {
        const violation = await findViolation({ nodeCount: 4 + (seed % 2) * 5, seed, clocks });
        if (violation !== undefined) {
            return violation;
        }
    }
    return undefined;
}

const rows: readonly (readonly [nodeCount: number, clocks: ClockErrors, firstSeed: number, plays: number])[] =
    [
        [4, "none", 1, 8],
        [4, "belowWindow", 1, 8],
        [4, "beyondWindow", 1, 8],
        [9, "none", 1, 3],
        [9, "belowWindow", 1, 3],
        [9, "beyondWindow", 1, 3],
        [30, "none", 1, 1],
        [30, "belowWindow", 1, 1],
        [30, "beyondWindow", 1, 1],
        [80, "none", 1, 0],
        [80, "belowWindow", 1, 0],
        [80, "beyondWindow", 1, 0],
        [195, "none", 1, 0],
        [195, "belowWindow", 1, 1],
        [195, "beyondWindow", 1, 0],
    ];

describe.each(rows)("%i nodes with clock errors: %s", (nodeCount, clocks, firstSeed, plays) => {
    const { seed = firstSeed, numRuns = plays } = inject("fuzz");

    // Guards against two figures for one window and two holders of the lease when returns of the store, kills, freezes
    // and lost messages overlap in a deployment whose nodes learn of a new era at different times.
    it.runIf(numRuns > 0)("report each window once, one holder after the other", async () => {
        const violations: string[] = [];
        for (let play = 0; play < numRuns; play += 1) {
            violations.push(
                ...[(await findViolation({ nodeCount, seed: seed + play, clocks })) ?? []].flat(),
            );
        }
        expect(violations).toEqual([]);
    });
});

describe("series of faults", () => {
    afterEach(() => vi.restoreAllMocks());

    it("break reporters that take the copy's word for what was reported", async () => {
        vi.spyOn(EraObservation.prototype, "update").mockReturnValue({
            era: 0,
            seenWallMs: startWallMs,
            seenSteadyMs: undefined,
        });
        expect(await findFirstViolation("none")).toMatch("two figures");
    });

    it("break nodes that do not wait for the holder of the former era", async () => {
        const { recordEra } = LeaseManager.prototype as unknown as { recordEra: () => void };
        const recordWithoutWait = function (this: { eraSettledMs: number }): void {
            recordEra.call(this);
            this.eraSettledMs = Number.NEGATIVE_INFINITY;
        };
        vi.spyOn(LeaseManager.prototype as never, "recordEra").mockImplementation(recordWithoutWait as never);
        expect(await findFirstViolation("none")).toMatch(/interleaved|two nodes|returned/);
    });
});
