/**
 * The program `npm run soak`: real node processes under load and seeded faults.
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
 * Runs one soak and prints what it saw.
 *
 * @param parameters - The process's arguments.
 * @returns 0 when every promise held, 1 when one was broken, 2 for wrong arguments.
 */
export async function runSoakCommand(parameters: readonly string[]): Promise<number> {
    const program = cac("soak");
    program.option("--seed <number>", "seed of the faults", { default: 1 });
    program.option("--seconds <number>", "length of the load", { default: 30 });
    program.help();
    const { options } = program.parse([...parameters]);
    if (options.help) {
        return 0;
    }
    const seed = Number(options.seed);
    const durationMs = Number(options.seconds) * millisecondsPerSecond;
    if (!Number.isInteger(seed) || !(durationMs > 0)) {
        process.stderr.write("--seed must be an integer and --seconds a positive number\n");
        return usageExitCode;
    }
    const planned = planFaults(seed, durationMs);
    process.stdout.write(`seed ${String(seed)}, ${String(planned.length)} faults\n`);
    const record = await new SoakRun().run(seed, durationMs);
    const broken = findGuaranteeViolations(record);
    process.stdout.write(`${summarizeCalls(record)}\n`);
    broken.forEach((line) => process.stdout.write(`broken: ${line}\n`));
    process.stdout.write(broken.length === 0 ? "soak: ok\n" : "soak: failed\n");
    return broken.length === 0 ? 0 : 1;
}

function summarizeCalls({ calls, backendRequests: runs, duties }: SoakRecord): string {
    const counts = new Map<string, number>();
    for (const { answer } of calls) {
        const outcome =
            answer === undefined ? "no answer" : `${String(answer.status)}${answer.isBroken ? " cut" : ""}`;
        counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
    }
    const outcomes = [...counts].sort().map(([outcome, count]) => `${outcome}: ${String(count)}`);
    return `${String(calls.length)} calls (${outcomes.join(", ")}), ${String(runs.length)} sends, ${String(duties.length)} calls of duties`;
}
