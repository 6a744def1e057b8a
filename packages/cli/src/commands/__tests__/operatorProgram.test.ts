import { cpSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Daemon } from "@pimentocleat/node";
import { MemoryTableService } from "@pimentocleat/services";
import { settingsSchema } from "@pimentocleat/schema";
import { MemoryMetrics, SilentLogger } from "@pimentocleat/telemetry";
import { SystemClock } from "@pimentocleat/types";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ExitCode } from "../../output/exitCodes.js";
import { runOperatorProgram } from "../operatorProgram.js";

const credential = "operator-credential-0123456789";
const examples = fileURLToPath(new URL("../../../../../examples/", import.meta.url));
const customerFile = "10-customers.yaml";

interface RunResult {
    readonly code: ExitCode;
    readonly text: string;
}

describe("pimentocleat", () => {
    let table: MemoryTableService;
    let daemon: Daemon;
    let operatorAddress: string;
    let folder: string;
    const folders: string[] = [];

    beforeEach(async () => {
        table = new MemoryTableService();
        daemon = new Daemon({
            settings: settingsSchema.parse({
                name: "node-1",
                dataCentre: "catania",
                callerAddress: "127.0.0.1:0",
                operatorAddress: "127.0.0.1:0",
                peerAddress: "127.0.0.1:0",
                platformAddress: "127.0.0.1:1",
                peerSecret: "peer-secret-0123456789",
                operatorCredential: credential,
                drainDelayMs: "0",
            }),
            services: {
                tableService: table,
                hostList: { listHosts: () => Promise.resolve([]) },
                close: () => Promise.resolve(),
            },
            logger: new SilentLogger(),
            metrics: new MemoryMetrics(),
            clock: new SystemClock(),
            random: Math.random,
        });
        operatorAddress = (await daemon.start()).operator;
        folder = copyExample();
    });

    afterEach(async () => {
        await daemon.abort();
        folders.splice(0).forEach((path) => rmSync(path, { recursive: true }));
    });

    function copyExample(): string {
        const path = mkdtempSync(join(tmpdir(), "pimentocleat-"));
        folders.push(path);
        cpSync(join(examples, "volantino"), path, { recursive: true });
        return path;
    }

    async function run(
        parameters: readonly string[],
        environment: Record<string, string> = {},
        signal = new AbortController().signal,
        lines: string[] = [],
    ): Promise<RunResult> {
        const code = await runOperatorProgram({
            parameters,
            environment: {
                PIMENTOCLEAT_OPERATOR_ADDRESS: operatorAddress,
                PIMENTOCLEAT_OPERATOR_CREDENTIAL: credential,
                USER: "tester",
                ...environment,
            },
            sink: { writeLine: (line) => lines.push(line), writeErrorLine: (line) => lines.push(line) },
            clock: new SystemClock(),
            signal,
        });
        expect(lines.join("\n")).not.toContain(credential);
        return { code, text: lines.join("\n") };
    }

    function edit(path: string, name: string, change: (text: string) => string): void {
        writeFileSync(join(path, name), change(readFileSync(join(path, name), "utf8")));
    }

    it("validates, applies and compares the example, and shows its status", async () => {
        expect((await run(["config", "validate", folder])).text).toContain(
            "valid: 5 files with 10 customers",
        );
        expect(await run(["config", "apply", folder, "--wait"])).toEqual({
            code: ExitCode.Success,
            text: expect.stringContaining("in force on 1 of 1 nodes"),
        });
        expect(await run(["config", "diff", folder])).toMatchObject({ code: ExitCode.Success });
        edit(folder, customerFile, (text) => `${text}  - name: new-shop\n`);
        const diff = await run(["config", "diff", folder]);
        expect(diff.code).toBe(ExitCode.Different);
        expect(diff.text).toContain("added       customers/new-shop");
        expect((await run(["config", "status"])).text).toContain(
            "stored revision 1, in force on 1 of 1 nodes",
        );
        expect((await run(["pool", "list"])).text).toContain("copy-palermo-2");
        expect((await run(["node", "list"])).text).toMatch(/node-1 +catania +ready +1/);
    });

    it.each([
        ["volantino", "5 files with 10 customers, 11 keys, 5 classes, 2 pools, 2 routes"],
        ["peachtree", "5 files with 10 customers, 12 keys, 4 classes, 2 pools, 2 routes"],
    ])("accepts the example %s as valid", async (name, summary) => {
        expect((await run(["config", "validate", join(examples, name)])).text).toContain(summary);
    });

    it("accepts changes of two operators to different files and reports a conflict in the same file", async () => {
        const other = copyExample();
        await run(["config", "apply", folder]);
        expect((await run(["config", "apply", other])).text).toContain("unchanged");
        edit(folder, customerFile, (text) => `${text}  - name: mine\n`);
        edit(other, "20-classes.yaml", (text) => text.replace("tier: 3", "tier: 4"));
        expect((await run(["config", "apply", folder])).code).toBe(ExitCode.Success);
        expect((await run(["config", "apply", other])).code).toBe(ExitCode.Success);
        edit(other, customerFile, (text) => `${text}  - name: theirs\n`);
        const conflict = await run(["config", "apply", other]);
        expect(conflict.code).toBe(ExitCode.Conflict);
        expect(conflict.text).toContain(`${customerFile} was changed by tester in revision 2`);
        expect((await run(["config", "pull", other])).text).toContain(`kept your edit of ${customerFile}`);
        expect((await run(["config", "apply", other])).code).toBe(ExitCode.Success);
        expect((await run(["config", "status"])).text).toContain("stored revision 4");
    });

    it("deletes a file that the operator removed", async () => {
        await run(["config", "apply", folder]);
        rmSync(join(folder, "50-keys.yaml"));
        expect((await run(["config", "apply", folder])).text).toContain("revision 2: 50-keys.yaml");
        expect((await run(["key", "list"])).text).not.toContain("chain-copy");
    });

    it("shows a new secret only once and withdraws the key permanently", async () => {
        await run(["config", "apply", folder]);
        const created = await run(["key", "create", "k9", "--customer", "stampa-ragusa", "--json"]);
        const { secret } = JSON.parse(created.text) as { secret: string };
        expect(secret).toMatch(/^pk-/);
        const later = [
            await run(["key", "list"]),
            await run(["key", "create", "k9", "--customer", "stampa-ragusa"]),
            await run(["key", "withdraw", "k9"]),
            await run(["key", "withdraw", "k9"]),
            await run(["config", "pull", folder]),
            await run(["config", "apply", folder, "--json"]),
            await run(["key", "list", "--json"]),
        ];
        expect(later.map((result) => result.code)).toEqual([0, ExitCode.Conflict, 0, 0, 0, 0, 0]);
        expect(later.map((result) => result.text).join()).not.toContain(secret);
        expect(readFileSync(join(folder, "key-k9.yaml"), "utf8")).not.toContain(secret);
        expect(later.at(-1)?.text).toContain(
            '"keyId":"k9","customer":"stampa-ragusa","defaultClass":"","withdrawn":true',
        );
    });

    it.each<[string, string[], ExitCode, Record<string, string>?]>([
        ["an unknown command", ["config", "destroy"], ExitCode.WrongUsage],
        ["a missing argument", ["config", "apply"], ExitCode.WrongUsage],
        ["no command", [], ExitCode.WrongUsage],
        ["a missing folder", ["config", "validate", "/nowhere"], ExitCode.WrongUsage],
        ["an unknown flag", ["node", "list", "--colour"], ExitCode.WrongUsage],
        ["no customer", ["key", "create", "k"], ExitCode.WrongUsage],
        [
            "a customer that does not exist",
            ["key", "create", "k", "--customer", "nobody"],
            ExitCode.InvalidConfiguration,
        ],
        [
            "an identifier that is not allowed",
            ["key", "create", "K!", "--customer", "c"],
            ExitCode.WrongUsage,
        ],
        ["an unknown key", ["key", "withdraw", "none"], ExitCode.NotFound],
        ["an unknown request", ["explain", "none"], ExitCode.NotFound],
        [
            "a wrong credential",
            ["node", "list"],
            ExitCode.Unauthorized,
            { PIMENTOCLEAT_OPERATOR_CREDENTIAL: "wrong" },
        ],
        [
            "a node that is down",
            ["node", "list"],
            ExitCode.Unreachable,
            { PIMENTOCLEAT_OPERATOR_ADDRESS: "127.0.0.1:1" },
        ],
        [
            "a credential file that is missing",
            ["node", "list", "--operator-credential-file", "/nowhere"],
            ExitCode.WrongUsage,
        ],
    ])("exits with the code for %s", async (title, parameters, code, environment = {}) => {
        expect((await run(parameters, environment)).code, title).toBe(code);
        const json = await run([...parameters, "--json"], environment);
        expect(json.code).toBe(code);
        if (parameters.length > 0) {
            expect(JSON.parse(json.text)).toMatchObject({ error: { exitCode: code } });
        }
    });

    it("exits with the code for an unreachable store", async () => {
        table.setFaultPlan(() => "unavailable");
        expect((await run(["config", "diff", folder])).code).toBe(ExitCode.Unreachable);
    });

    it("applies saved files while it watches, also after an invalid save or a store outage", async () => {
        const controller = new AbortController();
        const lines: string[] = [];
        const watching = run(["config", "watch", folder], {}, controller.signal, lines);
        const waitForLine = (text: string): Promise<void> =>
            vi.waitFor(() => expect(lines.join("\n")).toContain(text), { timeout: 30_000 });
        await waitForLine("revision 1: in force on 1 of 1 nodes");
        edit(folder, customerFile, (text) => text.replace("weight: 4", "weight: -4"));
        await waitForLine("weight: -4 is not allowed");
        edit(folder, customerFile, (text) => text.replace("weight: -4", "weight: 5"));
        await waitForLine("revision 2: in force on 1 of 1 nodes");
        table.setFaultPlan(() => "unavailable");
        edit(folder, customerFile, (text) => text.replace("weight: 5", "weight: 6"));
        await waitForLine("the table service is out");
        table.setFaultPlan(() => "none");
        await waitForLine("revision 3: in force on 1 of 1 nodes");
        controller.abort();
        expect((await watching).code).toBe(ExitCode.Success);
    });
});
