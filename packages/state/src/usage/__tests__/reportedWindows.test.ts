import { describe, expect, it } from "vitest";
import { ReportedWindows } from "../reportedWindows.js";

describe("ReportedWindows", () => {
    // Guards against a second report of a window from an older copy of the counts.
    it("knows windows that were reported before the table service went back", () => {
        const windows = new ReportedWindows();
        windows.recordMark({ nextStartMs: 5_000, era: 1 });
        expect(windows.isForgotten(4_000, 1)).toBe(false);
        expect(windows.isForgotten(4_000, 2)).toBe(true);
        expect(windows.isForgotten(5_000, 2)).toBe(false);
    });

    it("takes the furthest mark, in whichever order marks arrive", () => {
        const windows = new ReportedWindows();
        windows.recordMark({ nextStartMs: 7_000, era: 2 });
        windows.recordMark({ nextStartMs: 5_000, era: 1 });
        expect(windows.isForgotten(6_000, 2)).toBe(false);
        expect(windows.isForgotten(6_000, 3)).toBe(true);
    });
});
