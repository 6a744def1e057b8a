import { describe, expect, it, vi } from "vitest";
import { ExitCode } from "../../output/exitCodes.js";
import { runDaemonProgram } from "../daemonProgram.js";

const secret = "a-secret-of-the-operators";
const environment: Record<string, string> = {
    PIMENTOCLEAT_NAME: "node-1",
    PIMENTOCLEAT_DATA_CENTRE: "catania",
    PIMENTOCLEAT_PLATFORM_ADDRESS: "127.0.0.1:1",
    PIMENTOCLEAT_PEER_SECRET: secret,
    PIMENTOCLEAT_OPERATOR_CREDENTIAL: secret,
    PIMENTOCLEAT_CALLER_ADDRESS: "127.0.0.1:0",
    PIMENTOCLEAT_OPERATOR_ADDRESS: "127.0.0.1:0",
    PIMENTOCLEAT_PEER_ADDRESS: "127.0.0.1:0",
    PIMENTOCLEAT_DRAIN_DELAY_MS: "0",
    PIMENTOCLEAT_LOG_LEVEL: "debug",
};

function start(parameters: readonly string[]) {
    const lines: string[] = [];
    const errorLines: string[] = [];
    const listeners: (() => void)[] = [];
    const code = runDaemonProgram({
        parameters,
        environment,
        sink: { writeLine: (line) => lines.push(line), writeErrorLine: (line) => errorLines.push(line) },
        onStopSignal: (listener) => listeners.push(listener),
    });
    return { code, lines, errorLines, signal: () => listeners.forEach((listener) => listener()) };
}

describe("pimentocleatd", () => {
    it.each<[string[], ExitCode, string]>([
        [["--help"], ExitCode.Success, "--caller-address <value>  PIMENTOCLEAT_CALLER_ADDRESS"],
        [["--version"], ExitCode.Success, "0."],
        [["--check"], ExitCode.Success, "the settings are valid"],
    ])("handles %j", async (parameters, code, text) => {
        const run = start(parameters);
        expect(await run.code).toBe(code);
        expect(run.lines.join("\n")).toContain(text);
        expect(run.lines.join("\n")).not.toContain(secret);
    });

    it("prints an invalid setting on one line and exits with code 2", async () => {
        const run = start(["--check", "--drain-delay-ms", "soon"]);
        expect(await run.code).toBe(ExitCode.WrongUsage);
        expect(run.errorLines).toEqual([
            '--drain-delay-ms: "soon" is not allowed; use a whole number from 0 to 600000',
        ]);
    });

    it("starts while the platform is unavailable, prints its addresses and exits with code 0 on a stop signal", async () => {
        const run = start([]);
        await vi.waitFor(() => expect(run.lines).toHaveLength(3), { timeout: 30_000 });
        expect(run.lines).toEqual([
            expect.stringMatching(/^operator 127\.0\.0\.1:\d+$/),
            expect.stringMatching(/^peer 127\.0\.0\.1:\d+$/),
            expect.stringMatching(/^listening 127\.0\.0\.1:\d+$/),
        ]);
        run.signal();
        expect(await run.code).toBe(ExitCode.Success);
        expect(run.errorLines.join("\n")).not.toContain(secret);
    });
});
