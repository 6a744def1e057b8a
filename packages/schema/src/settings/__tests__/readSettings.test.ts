import { describe, expect, it } from "vitest";
import { formatSettingsHelp, listSettings } from "../settingDescriptions.js";
import { readSettings, SettingsError } from "../readSettings.js";

const secret = "0123456789abcdef-secret";
const required: Record<string, string> = {
    PIMENTOCLEAT_NAME: "node-1",
    PIMENTOCLEAT_DATA_CENTRE: "catania",
    PIMENTOCLEAT_PLATFORM_ADDRESS: "127.0.0.1:7000",
    PIMENTOCLEAT_PEER_SECRET: secret,
    PIMENTOCLEAT_OPERATOR_CREDENTIAL: secret,
};

function read(flags: string[], environment: Record<string, string | undefined> = {}) {
    return readSettings({
        flags,
        environment: { ...required, ...environment },
        readFile: (path) => {
            if (path !== "/secrets/peer") {
                throw new Error("absent");
            }
            return "from-a-file-0123456789\n";
        },
    });
}

function readProblems(
    flags: string[],
    environment: Record<string, string | undefined> = {},
): readonly string[] {
    try {
        read(flags, environment);
    } catch (error) {
        expect(error).toBeInstanceOf(SettingsError);
        return (error as SettingsError).problems;
    }
    return [];
}

describe("readSettings", () => {
    it("applies defaults", () => {
        expect(read([])).toMatchObject({
            type: "run",
            settings: {
                name: "node-1",
                callerAddress: "127.0.0.1:8080",
                drainDelayMs: 5_000,
                logFormat: "json",
            },
        });
    });

    it("gives the flag precedence over the environment variable", () => {
        const result = read(["--caller-address", "127.0.0.1:1"], {
            PIMENTOCLEAT_CALLER_ADDRESS: "127.0.0.1:2",
            PIMENTOCLEAT_DRAIN_DELAY_MS: "7",
        });
        expect(result).toMatchObject({ settings: { callerAddress: "127.0.0.1:1", drainDelayMs: 7 } });
    });

    it("reads a secret from a file", () => {
        const result = read(["--peer-secret-file", "/secrets/peer"]);
        expect(result).toMatchObject({ settings: { peerSecret: "from-a-file-0123456789" } });
    });

    it.each([
        ["--caller-address", "localhost:80", "127.0.0.1:8080"],
        ["--caller-address", "127.0.0.1:65536", "127.0.0.1:8080"],
        ["--caller-address", "1.2.3.256:80", "127.0.0.1:8080"],
        ["--drain-delay-ms", "5s", "a whole number from 0 to 600000"],
        ["--drain-delay-ms", "-1", "a whole number"],
        ["--drain-delay-ms", "", "a whole number"],
        ["--log-format", "xml", "json or pretty"],
        ["--name", "Node 1", "lower-case letters"],
    ])("reports the flag, the value and the allowed values: %s %s", (flag, value, allowed) => {
        const problems = readProblems([`${flag}=${value}`]);
        expect(problems).toHaveLength(1);
        expect(problems[0]).toContain(`${flag}: "${value}" is not allowed; use `);
        expect(problems[0]).toContain(allowed);
    });

    it("reports all invalid settings at once, with the environment variable of each", () => {
        const problems = readProblems([], { PIMENTOCLEAT_NAME: undefined, PIMENTOCLEAT_LOG_LEVEL: "loud" });
        expect(problems).toEqual([
            expect.stringContaining("--name (PIMENTOCLEAT_NAME) is missing"),
            expect.stringContaining('--log-level (PIMENTOCLEAT_LOG_LEVEL): "loud"'),
        ]);
    });

    it("never prints a secret", () => {
        expect(readProblems(["--peer-secret", "tooshort"]).join()).not.toContain("tooshort");
        expect(
            readProblems(["--peer-secret", secret, "--peer-secret-file", "/secrets/peer"]).join(),
        ).not.toContain(secret);
    });

    it.each([
        [[secret]],
        [["--peer-secret", secret, secret]],
        [["--peer-secrt", secret]],
        [[`--peer-secrt=${secret}`]],
        [["--name", "x", "--", secret]],
    ])("does not print a value that may be a secret: %j", (flags) => {
        const problems = readProblems(flags);
        expect(problems).toHaveLength(1);
        expect(problems[0]).not.toContain(secret);
    });

    it.each([
        [["--peer-secret-file", "/absent"], "cannot be read"],
        [["--peer-secret", secret, "--peer-secret-file", "/secrets/peer"], "both given"],
        [["--colour", "red"], "--help"],
        [["extra"], "--help"],
    ])("rejects %j", (flags, text) => {
        expect(readProblems(flags).join()).toContain(text);
    });

    it("distinguishes help, version and check", () => {
        expect(read(["--help"]).type).toBe("help");
        expect(read(["--version"]).type).toBe("version");
        expect(read(["--check"]).type).toBe("check");
    });

    it("shows flag, variable, unit and default of each setting in the help text", () => {
        const help = formatSettingsHelp();
        for (const setting of listSettings()) {
            expect(help).toContain(`${setting.flag} <value>  ${setting.variable}`);
            expect(help).toContain(`default ${setting.defaultText}`);
        }
        expect(help).toContain("unit ms, default 5000");
    });
});
