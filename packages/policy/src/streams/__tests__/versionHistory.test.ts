import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { VersionHistory } from "../versionHistory.js";

const spanMs = 16_000;

describe("VersionHistory", () => {
    it("finds the only version once the history spans a stream's life", () => {
        const clock = new ManualClock();
        const history = new VersionHistory(clock);
        history.recordServers("s", ["v1", "v1"]);
        expect(history.findOnlyVersion("s", spanMs)).toBeUndefined();
        clock.advance(spanMs);
        expect(history.findOnlyVersion("s", spanMs)).toBe("v1");
        expect(history.findOnlyVersion("other", spanMs)).toBeUndefined();
    });

    // Guards against taking the remaining version for the one at which a stream of a replaced server began.
    it("names no version while a stream of a version that is gone may still be taken up", () => {
        const clock = new ManualClock();
        const history = new VersionHistory(clock);
        history.recordServers("s", ["v1"]);
        clock.advance(spanMs);
        history.recordServers("s", ["v1", "v2"]);
        clock.advance(1_000);
        history.recordServers("s", ["v2"]);
        clock.advance(spanMs);
        expect(history.findOnlyVersion("s", spanMs)).toBeUndefined();
        clock.advance(1);
        expect(history.findOnlyVersion("s", spanMs)).toBe("v2");
    });

    // Guards against a node that missed a release while it was out of touch.
    it("starts again after a time in which servers may have come and gone unnoticed", () => {
        const clock = new ManualClock();
        const history = new VersionHistory(clock);
        history.recordServers("s", ["v1"]);
        clock.advance(spanMs);
        history.clearHistory();
        expect(history.findOnlyVersion("s", spanMs)).toBeUndefined();
        clock.advance(spanMs);
        expect(history.findOnlyVersion("s", spanMs)).toBe("v1");
    });

    it("names no version for servers that register none", () => {
        const clock = new ManualClock();
        const history = new VersionHistory(clock);
        history.recordServers("s", [undefined]);
        clock.advance(spanMs);
        expect(history.findOnlyVersion("s", spanMs)).toBeUndefined();
    });
});
