import { expect, it } from "vitest";
import { ExitCode } from "../../output/exitCodes.js";
import { Output } from "../../output/output.js";
import { runDemo, runPlatformDemo } from "../runDemo.js";

/**
 * Far above the target, in milliseconds. `pimentocleat demo` itself checks the target; this test checks outcomes and
 * must not fail on a slow machine.
 */
const withdrawalTimeoutMs = 60_000;

it("passes every step on a stand-in of the users' platform, including kills and stops, and leaves no process running", async () => {
    const lines: string[] = [];
    const writeLine = (line: string): number => lines.push(line);
    const code = await runPlatformDemo(new Output({ writeLine, writeErrorLine: writeLine }, false));
    expect(lines.join("\n")).toContain("demo: ok");
    expect(code).toBe(ExitCode.Success);
}, 120_000);

it("serves every kind of request with separate processes and leaves no process running", async () => {
    const lines: string[] = [];
    const output = new Output(
        { writeLine: (line) => lines.push(line), writeErrorLine: (line) => lines.push(line) },
        false,
    );
    const code = await runDemo(output, withdrawalTimeoutMs);
    expect(lines.join("\n")).toContain("demo: ok");
    expect(code).toBe(ExitCode.Success);
}, 120_000);
