import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { StreamSpans } from "../streamSpans.js";

describe("StreamSpans", () => {
    // Guards against a configuration with shorter timeouts, after which a stream of a version that is gone would be
    // resumed at the version that remains.
    it("keeps a longer span until the streams that began under it have ended", () => {
        const clock = new ManualClock();
        const spans = new StreamSpans(clock);
        spans.recordSpan("s", 30_000);
        spans.recordSpan("s", 2_000);
        clock.advance(30_000);
        expect(spans.readSpanMs("s")).toBe(30_000);
        clock.advance(1);
        expect(spans.readSpanMs("s")).toBe(2_000);
    });

    it("keeps the longest of several spans that follow each other", () => {
        const clock = new ManualClock();
        const spans = new StreamSpans(clock);
        [30_000, 2_000, 4_000, 1_000].forEach((spanMs) => spans.recordSpan("s", spanMs));
        expect(spans.readSpanMs("s")).toBe(30_000);
        clock.advance(30_001);
        expect(spans.readSpanMs("s")).toBe(1_000);
    });

    // Guards against a history that counts as complete before the first configuration, or for a service without streams.
    it("is infinite for a service without streams", () => {
        const spans = new StreamSpans(new ManualClock());
        expect(spans.readSpanMs("s")).toBe(Number.POSITIVE_INFINITY);
        spans.recordSpan("s", 30_000);
        spans.recordSpan("s", Number.POSITIVE_INFINITY);
        expect(spans.readSpanMs("s")).toBe(Number.POSITIVE_INFINITY);
    });
});
