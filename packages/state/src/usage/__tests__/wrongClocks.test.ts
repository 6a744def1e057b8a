import { describe, expect, it } from "vitest";
import { StoreCopyScenario } from "./storeCopyScenario.js";
import { usersDurations } from "./usageDurations.js";

const agesMs: readonly number[] = [500, 2_000, 4_000, 8_000, 12_000];
/** Moments of the report after which the store goes away, counted in windows. */
const reportCounts: readonly number[] = [1, 2, 3];
const warmUpMs = 15_000;
const aftermathMs = 25_000;

async function findViolation(
    clockOffsetMs: number,
    ageMs: number,
    reportCount: number,
): Promise<string | undefined> {
    const scenario = new StoreCopyScenario({
        seed: ageMs + reportCount,
        firstClockOffsetMs: clockOffsetMs,
        lateShare: 0,
    });
    await scenario.advance(warmUpMs);
    for (let report = 1; report < reportCount; report += 1) {
        await scenario.advanceToReport(() => undefined);
    }
    await scenario.advanceToReport((reporter) => {
        scenario.killNodes([reporter]);
        scenario.returnStore(ageMs, 0);
    });
    await scenario.advance(aftermathMs);
    const violation = scenario.findReportViolation();
    return violation && `${violation} (age ${String(ageMs)} ms, report ${String(reportCount)})`;
}

describe.each([-11_000, -6_500, 6_500, 11_000])(
    "a reporter whose clock is off by %i ms is killed as the store comes back from a copy",
    (clockOffsetMs) => {
        // Guards against a second figure for a window that a reporter whose clock was ahead by more than a window has
        // reported, from a node that dates the new era by its own clock.
        it("leaves one figure for each window", async () => {
            const violations: (string | undefined)[] = [];
            for (const ageMs of agesMs) {
                for (const reportCount of reportCounts) {
                    violations.push(await findViolation(clockOffsetMs, ageMs, reportCount));
                }
            }
            expect(violations.filter((violation) => violation !== undefined)).toEqual([]);
        });

        // Guards against a reporter that never reports because its clock stays wrong.
        it("costs few windows while the store is there", async () => {
            const scenario = new StoreCopyScenario({
                seed: 1,
                firstClockOffsetMs: clockOffsetMs,
                lateShare: 0,
            });
            await scenario.advance(3 * warmUpMs);
            const firstMissing = scenario.countMissingWindows();
            await scenario.advance(2 * warmUpMs);
            const allowed = Math.ceil(Math.max(0, -clockOffsetMs) / usersDurations.windowMs);
            expect(scenario.countMissingWindows() - firstMissing).toBeLessThanOrEqual(allowed);
        });
    },
);
