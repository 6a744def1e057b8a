import { PlatformErrorKind } from "@pimentocleat/services";
import { afterEach, expect, test } from "vitest";
import { launchProgram, measureEngine, type LaunchedProgram, type StandInName } from "../index.js";
import { readBackendJson, sendBackendCall } from "./contracts/backendCalls.js";
import { callTimeoutMs, hangTimeoutMs, sampleWrite, withClients } from "./contracts/platformCalls.js";

const programNames: readonly StandInName[] = ["engine", "plainService", "platform"];
let program: LaunchedProgram | undefined;

afterEach(async () => {
    await program?.stop();
    program = undefined;
});

test.each(programNames)("%s starts on a port that the system chooses and stops on SIGTERM", async (name) => {
    program = await launchProgram(name);
    expect(program.address).toMatch(/^127\.0\.0\.1:\d+$/);
    const plan = { faults: [{ kind: "refuse", count: 1 }] };
    const accepted = await sendBackendCall(program.address, { path: "/faults", body: plan });
    expect([accepted.status, accepted.text]).toEqual([200, `{"accepted":true}`]);
    const path = name === "platform" ? "/hosts" : "/load";
    expect((await sendBackendCall(program.address, { path })).status).toBe(503);
    expect((await sendBackendCall(program.address, { path })).status).toBe(200);
    const wrong = await sendBackendCall(program.address, {
        path: "/faults",
        body: { faults: [{ kind: "x" }] },
    });
    expect(wrong.status).toBe(400);
    expect(await program.stop()).toEqual({ code: 0, signal: undefined });
    expect(program.readStderr()).toBe("");
});

test("a flag takes precedence over the environment", async () => {
    const environment = {
        ...process.env,
        PIMENTOCLEAT_STANDIN_SLOTS: "3",
        PIMENTOCLEAT_STANDIN_CREDENTIAL: "7",
    };
    program = await launchProgram("engine", ["--slots", "4", "--prefill-ms-per-1000", "5"], { environment });
    expect((await sendBackendCall(program.address, { path: "/load" })).status).toBe(401);
    const headers = { authorization: "Bearer 7" };
    const load = await sendBackendCall(program.address, { path: "/load", headers });
    expect(JSON.parse(load.text).slots).toBe(4);
});

test.each([
    [["--slots", "none"], "--slots: "],
    [["--unknown", "1"], "--unknown: "],
])("the program exits on the invalid setting %j and names it", async (parameters, named) => {
    const start = launchProgram("engine", parameters);
    await expect(start).rejects.toThrow(named);
});

test("a program killed by SIGKILL reports the signal", async () => {
    program = await launchProgram("plainService");
    expect(await readBackendJson(program.address, "/counts")).toMatchObject({ orders: {} });
    program.sendSignal("SIGKILL");
    expect(await program.exited).toEqual({ code: undefined, signal: "SIGKILL" });
});

test("a commit to a suspended platform is ambiguous and takes effect after the platform resumes", async () => {
    program = await launchProgram("platform");
    const { address } = program;
    await withClients({ address }, async ({ table }) => {
        expect(await table.readRow("b", "k")).toBeUndefined();
        program?.sendSignal("SIGSTOP");
        const commit = withClients({ address, timeoutMs: hangTimeoutMs }, (shortTimeoutClients) =>
            shortTimeoutClients.table.commitTransaction(sampleWrite),
        );
        await expect(commit).rejects.toMatchObject({ kind: PlatformErrorKind.Ambiguous });
        program?.sendSignal("SIGCONT");
        await expect
            .poll(() => table.readRow("b", "k"), { timeout: callTimeoutMs })
            .toMatchObject({ value: 1 });
    });
});

test("the throughput measurement counts every token of every stream", async () => {
    const options = { streams: 3, tokens: 50, tokensPerStep: 8, tokenIntervalMs: 0 };
    expect(await measureEngine(options)).toMatchObject({ ...options, generated: 150 });
});
