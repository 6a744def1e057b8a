import { describe, expect, it } from "vitest";
import { storeEvents, type StoreEvent, type StoreReturn } from "./storeCopyEvents.js";
import { StoreCopyScenario } from "./storeCopyScenario.js";
import { usersDurations } from "./usageDurations.js";

const agesMs: readonly number[] = [500, 1_000, 2_000, 4_000, 8_000, 12_000];
const awayTimesMs: readonly number[] = [0, 1_000, 5_000];
/** Moments of the event relative to the windows, which are 5 s long, in milliseconds. */
const offsetsMs: readonly number[] = [600, 2_000, 2_400, 4_000];
/** Time before the event in which windows are reported, in milliseconds; a whole number of windows. */
const warmUpMs = 15_000;
/** Time after the event until all reports that will come are due, in milliseconds. */
const aftermathMs = 20_000;
/**
 * Maximum number of windows with usage that stay unreported after one return of the store, when a node lives on; those
 * that end while it is away come on top, since nobody can report them or know that nobody has.
 */
const maximumMissingWindows = 3;

interface Outcome {
    readonly report: string | undefined;
    readonly holder: string | undefined;
    readonly missingWindows: number;
    readonly maximumMissing: number;
    /** Missing windows that began after the return. */
    readonly missingLater: number;
}

async function measureReturn(
    event: StoreEvent,
    storeReturn: StoreReturn,
    seed: number,
    lateShare?: number,
): Promise<Outcome> {
    const { firstClockOffsetMs } = event;
    const scenario = new StoreCopyScenario({ seed, firstClockOffsetMs, lateShare });
    await scenario.advance(warmUpMs);
    await event.run(scenario, storeReturn);
    await scenario.advance(aftermathMs);
    const { awayMs, offsetMs } = storeReturn;
    const formatViolation = (violation: string | undefined): string | undefined =>
        violation && `${violation} (away ${String(awayMs)} ms, offset ${String(offsetMs)} ms)`;
    return {
        report: formatViolation(scenario.findReportViolation()),
        holder: formatViolation(scenario.findHolderViolation()),
        missingWindows: scenario.countMissingWindows(),
        maximumMissing:
            scenario.countReturns() * (maximumMissingWindows + Math.floor(awayMs / usersDurations.windowMs)),
        missingLater: scenario.countMissingAfterReturn(),
    };
}

async function measureRow(event: StoreEvent, ageMs: number): Promise<readonly Outcome[]> {
    const outcomes: Outcome[] = [];
    for (const awayMs of awayTimesMs) {
        for (const offsetMs of offsetsMs) {
            outcomes.push(await measureReturn(event, { ageMs, awayMs, offsetMs }, outcomes.length + 1));
        }
    }
    return outcomes;
}

function printMissingWindows(name: string, outcomes: readonly Outcome[]): void {
    if (process.env["PIMENTOCLEAT_MEASURE"] !== undefined) {
        const counts = outcomes.map(({ missingWindows }) => missingWindows);
        const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
        console.info(`${name}: worst ${String(Math.max(...counts))}, mean ${mean.toFixed(2)}`);
    }
}

const rows = storeEvents.flatMap((event) =>
    agesMs.map((ageMs): [number, string, StoreEvent] => [ageMs, event.name, event]),
);

describe.each(rows)("a store that comes back from a copy %i ms old while %s", (ageMs, name, event) => {
    let measured: Promise<readonly Outcome[]> | undefined;
    const measureOnce = (): Promise<readonly Outcome[]> => (measured ??= measureRow(event, ageMs));

    it("gets one figure for each window", async () => {
        const outcomes = await measureOnce();
        expect(outcomes.flatMap(({ report }) => report ?? [])).toEqual([]);
    });

    it("has one holder after the other", async () => {
        const outcomes = await measureOnce();
        expect(outcomes.flatMap(({ holder }) => holder ?? [])).toEqual([]);
    });

    if (event.hasSurvivor) {
        it("costs few windows", async () => {
            const outcomes = await measureOnce();
            printMissingWindows(`${name}, ${String(ageMs)} ms`, outcomes);
            const excessive = outcomes.filter(
                ({ missingWindows, maximumMissing }) => missingWindows > maximumMissing,
            );
            expect(excessive).toEqual([]);
            expect(outcomes.filter(({ missingLater }) => missingLater > 0)).toEqual([]);
        });
    }
});

describe("a reporter that reaches the store again within its lease", () => {
    const [allLiveOn] = storeEvents;
    const shortAwayTimesMs = awayTimesMs.filter((awayMs) => awayMs <= 1_000);

    // Guards against windows that are left out although the last reporter knows that nobody has reported them.
    it.each(agesMs)("leaves no window out after a copy %i ms old", async (ageMs) => {
        for (const awayMs of shortAwayTimesMs) {
            for (const offsetMs of offsetsMs) {
                const outcome = await measureReturn(allLiveOn!, { ageMs, awayMs, offsetMs }, offsetMs, 0);
                expect(outcome).toMatchObject({ report: undefined, missingWindows: 0 });
            }
        }
    });
});
