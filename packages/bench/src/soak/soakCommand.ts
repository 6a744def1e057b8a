/**
 * Command-line program behind `npm run soak`, which runs real node processes under load and seeded faults.
 *
 * @packageDocumentation
 */
import { cac } from "cac";
import { planFaults } from "./soakPlan.js";
import { findGuaranteeViolations, type SoakRecord } from "./soakRecord.js";
import { SoakRun } from "./soakRun.js";

const usageExitCode = 2;
const millisecondsPerSecond = 1_000;

/**
 * Runs one soak and prints its results and violated guarantees.
 *
 * @param parameters - Command-line arguments of the process.
 * @returns Exit code: 0 when every guarantee held, 1 when one was violated, 2 for invalid arguments.
 */
export async function runSoakCommand(parameters: readonly string[]): Promise<number> {
    const program = cac("soak");
    program.option("--seed <number>", "seed of the faults", { default: 1 });
    program.option("--seconds <number>", "duration of the load, in seconds", { default: 30 });
    program.help();
    const { options } = program.parse([...parameters]);
    if (options.help) {
        return 0;
    }
    const seed = Number(options.seed);
    const durationMs = Number(options.seconds) * millisecondsPerSecond;
    if (!Number.isInteger(seed) || !(durationMs > 0)) {
        process.stderr.write("invalid option: --seed must be an integer and --seconds a positive number\n");
        return usageExitCode;
    }
    const planned = planFaults(seed, durationMs);
    process.stdout.write(`seed ${String(seed)}, ${String(planned.length)} faults\n`);
    const record = await new SoakRun().run(seed, durationMs);
    const violations = findGuaranteeViolations(record);
    process.stdout.write(`${summarizeCalls(record)}\n`);
    violations.forEach((line) => process.stdout.write(`violation: ${line}\n`));
    process.stdout.write(violations.length === 0 ? "soak: ok\n" : "soak: failed\n");
    return violations.length === 0 ? 0 : 1;
}

function summarizeCalls({ calls, backendRequests, duties }: SoakRecord): string {
    const counts = new Map<string, number>();
    for (const { answer } of calls) {
        const outcome =
            answer === undefined
                ? "no response"
                : `${String(answer.status)}${answer.isBroken ? " truncated" : ""}`;
        counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
    }
    const outcomes = [...counts].sort().map(([outcome, count]) => `${outcome}: ${String(count)}`);
    return `${String(calls.length)} calls (${outcomes.join(", ")}), ${String(backendRequests.length)} backend requests, ${String(duties.length)} duty calls`;
}
