import type { LogEventName, LogFields, Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { StallDetector } from "../stallDetector.js";

/** Each wait takes a given time on each of the two clocks. */
class StandingClock implements WaitingClock {
    private monotonic = 0;
    private wall = 1_000_000;

    constructor(private readonly passed: { readonly monotonicMs: number; readonly wallMs: number }) {}

    monotonicMs(): number {
        return this.monotonic;
    }

    wallMs(): number {
        return this.wall;
    }

    wait(): Promise<void> {
        this.monotonic += this.passed.monotonicMs;
        this.wall += this.passed.wallMs;
        return Promise.resolve();
    }
}

async function listNotes(monotonicMs: number, wallMs: number): Promise<readonly [LogEventName, LogFields][]> {
    const notes: [LogEventName, LogFields][] = [];
    const stopping = new AbortController();
    const logger: Logger = { writeEvent: (name, fields = {}) => void notes.push([name, fields]) };
    const clock = new StandingClock({ monotonicMs, wallMs });
    const wait = clock.wait.bind(clock);
    let looks = 0;
    clock.wait = () => {
        looks += 1;
        if (looks === 2) {
            stopping.abort();
        }
        return wait();
    };
    await new StallDetector(clock, logger).run(stopping.signal);
    return notes;
}

describe("PauseWatch", () => {
    it.each([
        { name: "nothing happened", monotonicMs: 520, wallMs: 530, expected: [] },
        {
            name: "the host was suspended or its clock stepped forward",
            monotonicMs: 520,
            wallMs: 6_520,
            expected: [["clockJumped", { aheadMs: 6_000 }]],
        },
        {
            name: "the clock was stepped back",
            monotonicMs: 500,
            wallMs: -3_500,
            expected: [["clockJumped", { aheadMs: -4_000 }]],
        },
        {
            name: "the process was stopped",
            monotonicMs: 7_000,
            wallMs: 7_000,
            expected: [["nodeStalled", { passedMs: 7_000 }]],
        },
    ])("notes when $name", async ({ monotonicMs, wallMs, expected }) => {
        expect(await listNotes(monotonicMs, wallMs)).toEqual(expected);
    });
});
