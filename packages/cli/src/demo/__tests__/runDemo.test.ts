import { expect, it } from "vitest";
import { ExitCode } from "../../output/exitCodes.js";
import { Output } from "../../output/output.js";
import { runDemo } from "../runDemo.js";

/** Far above the target, which the demo itself checks: this test is about outcomes, not about time. */
const withdrawalLimitMs = 60_000;

it("serves every kind of request through separate processes and leaves none running", async () => {
    const lines: string[] = [];
    const output = new Output(
        { writeLine: (line) => lines.push(line), writeErrorLine: (line) => lines.push(line) },
        false,
    );
    const code = await runDemo(output, withdrawalLimitMs);
    expect(lines.join("\n")).toContain("demo: ok");
    expect(code).toBe(ExitCode.Success);
}, 120_000);
