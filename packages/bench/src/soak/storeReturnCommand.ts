/**
 * Command-line program behind `npm run soak:store`, which takes the store of real node processes back to older copies.
 *
 * @packageDocumentation
 */
import { cac } from "cac";
import { fileURLToPath } from "node:url";
import { planStoreReturns } from "./storeReturnPlan.js";
import { StoreReturnRun, type StoreReturnRecord } from "./storeReturnRun.js";

const usageExitCode = 2;
const ownProgramPath = fileURLToPath(new URL("../../../../platform/lib/main.js", import.meta.url));

/**
 * Runs one deployment and prints its results and the violations of the rule that a duty has one holder.
 *
 * @param parameters - Command-line arguments of the process.
 * @returns Exit code: 0 when the rule held, 1 when it did not, 2 for invalid arguments.
 */
export async function runStoreReturnCommand(parameters: readonly string[]): Promise<number> {
    const program = cac("storeReturns");
    program.option("--seed <number>", "seed of the returns", { default: 1 });
    program.option("--nodes <number>", "number of nodes", { default: 40 });
    program.option("--data-centres <number>", "number of data centres", { default: 5 });
    program.option("--returns <number>", "number of returns of the store", { default: 6 });
    program.option("--window <seconds>", "length of a usage window", { default: 5 });
    program.option("--lease <milliseconds>", "time of a lease", { default: 3_000 });
    program.option("--program <path>", "program of the nodes, of any release", { default: ownProgramPath });
    program.option("--other-program <path>", "program of every second node");
    program.help();
    const { options } = program.parse([...parameters]);
    if (options.help) {
        return 0;
    }
    const [seed, nodeCount, dataCentreCount, returnCount, usageWindowSeconds, leaseMs] = [
        options.seed,
        options.nodes,
        options.dataCentres,
        options.returns,
        options.window,
        options.lease,
    ].map(Number) as [number, number, number, number, number, number];
    const figures = [nodeCount, dataCentreCount, returnCount, usageWindowSeconds, leaseMs];
    if (!Number.isInteger(seed) || !figures.every((figure) => figure > 0)) {
        process.stderr.write("invalid option: --seed must be an integer, the other figures positive\n");
        return usageExitCode;
    }
    const run = new StoreReturnRun(
        {
            programPath: String(options.program),
            otherProgramPaths: options.otherProgram === undefined ? [] : [String(options.otherProgram)],
            nodeCount,
            dataCentreCount,
            usageWindowSeconds,
            leaseMs,
        },
        (line) => process.stdout.write(`${line}\n`),
    );
    const record = await run.run(planStoreReturns(seed, returnCount));
    const isHeld = record.violations.length === 0 && record.exitedNodes.length === 0;
    process.stdout.write(`${summarizeRecord(record)}\n`);
    process.stdout.write(isHeld ? "soak: ok\n" : "soak: failed\n");
    return isHeld ? 0 : 1;
}

function summarizeRecord(record: StoreReturnRecord): string {
    const { violations, reports, returnCount, callCount, answeredCount, exitedNodes } = record;
    const types = new Map<string, number>();
    violations.forEach(({ type }) => types.set(type, (types.get(type) ?? 0) + 1));
    const found = [...types].map(([type, count]) => `${type}: ${String(count)}`).join(", ");
    const windows = new Set(reports.map(({ body }) => body["Window"])).size;
    const holders = new Set(reports.map(({ holder }) => holder)).size;
    return (
        `${String(returnCount)} returns, ${String(callCount)} calls (${String(answeredCount)} answered 200), ` +
        `${String(reports.length)} reports of ${String(windows)} windows by ${String(holders)} nodes, ` +
        `violations: ${found === "" ? "none" : found}; unexpected exits: ${String(exitedNodes.length)}`
    );
}
