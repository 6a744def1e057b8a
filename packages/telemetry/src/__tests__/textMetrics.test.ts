import { expect, it } from "vitest";
import { TextMetrics } from "../textMetrics.js";

it("formats counters, and timers with their quantiles, counts and sums", () => {
    const metrics = new TextMetrics();
    metrics.addCount("request.refused", 1, { kind: "overloaded" });
    metrics.addCount("request.refused", 2, { kind: "overloaded" });
    for (let valueMs = 1; valueMs <= 100; valueMs += 1) {
        metrics.recordTime("request.complete", valueMs, { class: "chat" });
    }
    const text = metrics.formatText();
    expect(text).toContain('pimentocleat_request_refused_total{kind="overloaded"} 3\n');
    expect(text).toContain('pimentocleat_request_complete_ms{class="chat",quantile="0.5"} 50\n');
    expect(text).toContain('pimentocleat_request_complete_ms_count{class="chat"} 100\n');
    expect(text).toContain('pimentocleat_request_complete_ms_sum{class="chat"} 5050.0\n');
});
