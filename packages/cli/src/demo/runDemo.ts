/**
 * `pimentocleat demo` and `pimentocleat demo --platform`: a complete deployment of real processes, in under a minute.
 *
 * @packageDocumentation
 */
import { fileURLToPath } from "node:url";
import { UsersDeployment } from "@pimentocleat/standins";
import { SystemClock } from "@pimentocleat/types";
import { formatTable, type Output } from "../output/output.js";
import { ExitCode } from "../output/exitCodes.js";
import { ProcessDeployment } from "../deployment/processDeployment.js";
import { ExampleFolder } from "../deployment/exampleFolder.js";
import { DemoSteps, type StepResult } from "./demoSteps.js";
import { PlatformDemoSteps } from "./platformDemoSteps.js";

const examplePath = fileURLToPath(new URL("../../../../examples/volantino", import.meta.url));

/** Path of the compiled program of a node on the users' platform. */
const platformProgramPath = fileURLToPath(new URL("../../../../platform/lib/main.js", import.meta.url));
const platformNodeCount = 3;
/** Length of a usage window in the demo, in seconds; short, so that windows are reported while the demo runs. */
const platformUsageWindowSeconds = 2;

/** Target for the time until every node refuses a withdrawn key, in milliseconds. */
const withdrawalTargetMs = 5_000;

/**
 * Runs the demo on stand-ins of the platform and the backend servers.
 *
 * @param output - Prints the table of results.
 * @param withdrawalTimeoutMs - Maximum time until every node refuses a withdrawn key, in milliseconds.
 * @returns Success when every step passed and no process is left running; Failure otherwise.
 */
export async function runDemo(output: Output, withdrawalTimeoutMs = withdrawalTargetMs): Promise<ExitCode> {
    const folder = await ExampleFolder.copyExample(examplePath);
    const deployment = new ProcessDeployment({ configuration: folder.configuration });
    const results: StepResult[] = [];
    let failure: string | undefined;
    try {
        await deployment.start();
        await folder.writeFiles(deployment.serverAddresses);
        const clock = new SystemClock();
        const steps = new DemoSteps({ deployment, folderPath: folder.path, clock, withdrawalTimeoutMs });
        for await (const result of steps.run()) {
            results.push(result);
        }
    } catch (error) {
        failure = error instanceof Error ? error.message : String(error);
    } finally {
        await deployment.stop();
        await folder.remove();
    }
    return printOutcome(output, results, failure, deployment.listProcessIds());
}

/**
 * Runs the demo on a stand-in of the users' platform, with the program that the platform runs.
 *
 * @param output - Prints the table of results.
 * @returns Success when every step passed and no process is left running; Failure otherwise.
 */
export async function runPlatformDemo(output: Output): Promise<ExitCode> {
    const deployment = new UsersDeployment({
        programPath: platformProgramPath,
        nodeCount: platformNodeCount,
        usageWindowSeconds: platformUsageWindowSeconds,
    });
    const results: StepResult[] = [];
    const processIds: number[] = [];
    let failure: string | undefined;
    try {
        await deployment.start();
        processIds.push(...deployment.nodes.map(({ program }) => program.processId));
        for await (const result of new PlatformDemoSteps(deployment, new SystemClock()).run()) {
            results.push(result);
        }
        processIds.push(...deployment.nodes.map(({ program }) => program.processId));
    } catch (error) {
        failure = error instanceof Error ? error.message : String(error);
    } finally {
        await deployment.stop();
    }
    return printOutcome(output, results, failure, processIds);
}

function printOutcome(
    output: Output,
    results: readonly StepResult[],
    failure: string | undefined,
    processIds: readonly number[],
): ExitCode {
    const running = processIds.filter(isRunning);
    const failed = results.filter((result) => !result.passed).map((result) => result.step);
    const problems = [
        ...failed.map((step) => `failed: ${step}`),
        ...(failure === undefined ? [] : [`error: ${failure}`]),
        ...running.map((processId) => `still running: process ${processId}`),
    ];
    const passed = problems.length === 0;
    const rows = results.map((result) => [
        result.step,
        result.node,
        result.expected,
        result.seen,
        result.passed ? "ok" : "FAILED",
    ]);
    const table = formatTable({ columns: ["step", "node", "expected", "seen", "result"], rows });
    output.printResult({ passed, results, problems }, [
        ...table,
        ...problems,
        passed ? "demo: ok" : "demo: failed",
    ]);
    return passed ? ExitCode.Success : ExitCode.Failure;
}

function isRunning(processId: number): boolean {
    try {
        process.kill(processId, 0);
        return true;
    } catch {
        return false;
    }
}
