/**
 * The program `npm run fuzz`: runs the stateful tests with a given seed and number of runs.
 *
 * @packageDocumentation
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { cac } from "cac";
import { findStatefulTests } from "./findStatefulTests.js";

const repositoryRoot = fileURLToPath(new URL("../../../../", import.meta.url));
const vitestProgram = join(repositoryRoot, "node_modules/vitest/vitest.mjs");
const maximumSeed = 0x7fff_ffff;
/** Time limit of each test; replaces the limit of the Vitest configuration, which long runs exceed. */
const testTimeoutMs = 3_600_000;
const usageErrorExitCode = 2;

/**
 * Runs the stateful tests whose path contains a name given on the command line, or all.
 *
 * @param parameters - Arguments of the process, including the program's names.
 * @returns The exit code of the test run, or 2 when an argument is invalid.
 */
export async function runFuzzCommand(parameters: readonly string[]): Promise<number> {
    const program = cac("fuzz");
    program.usage("[options] [NAME...]  (NAME is a part of a test file's path)");
    program.option("--seed <number>", "seed of the histories", { default: 1 });
    program.option("--runs <number>", "histories for each test", { default: 1_000 });
    program.help();
    const { args, options } = program.parse([...parameters]);
    if (options.help) {
        return 0;
    }
    const seed = Number(options.seed);
    const runs = Number(options.runs);
    const files = findStatefulTests(repositoryRoot, args);
    const problem = findProblem(seed, runs, files);
    if (problem !== undefined) {
        process.stderr.write(`${problem}\n`);
        return usageErrorExitCode;
    }
    process.stdout.write(`seed ${seed}, ${runs} runs, ${files.length} files\n`);
    return runVitest(files, { PIMENTOCLEAT_FUZZ_SEED: String(seed), PIMENTOCLEAT_FUZZ_RUNS: String(runs) });
}

function findProblem(seed: number, runs: number, files: readonly string[]): string | undefined {
    if (!Number.isInteger(seed) || Math.abs(seed) > maximumSeed) {
        return `--seed must be an integer from -${maximumSeed} to ${maximumSeed}`;
    }
    if (!Number.isInteger(runs) || runs < 1) {
        return "--runs must be a positive integer";
    }
    return files.length === 0
        ? "no stateful test has a path that contains one of the given names"
        : undefined;
}

async function runVitest(
    files: readonly string[],
    variables: Readonly<Record<string, string>>,
): Promise<number> {
    const child = spawn(
        process.execPath,
        [vitestProgram, "run", `--testTimeout=${testTimeoutMs}`, ...files],
        { cwd: repositoryRoot, stdio: "inherit", env: { ...process.env, ...variables } },
    );
    const [code] = (await once(child, "exit")) as [number | undefined];
    return code ?? 1;
}
