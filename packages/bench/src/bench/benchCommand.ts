/**
 * The command `npm run bench`.
 *
 * @packageDocumentation
 */
import { cac } from "cac";
import { runBenchBackend } from "./benchBackend.js";
import { runBenchNode } from "./benchNode.js";
import { defaultBenchOptions, type BenchOptions } from "./benchOptions.js";
import { BenchProcess } from "./benchProcess.js";
import { formatBenchReport, type BenchReport } from "./benchReport.js";
import { measureLatency } from "./measureLatency.js";
import { measureMemory, measureShortRequests, measureStreams } from "./measureLoad.js";

const backendCount = 2;

interface BenchFlags {
    readonly seed: number;
    readonly json?: boolean;
    readonly profile?: string;
}

/**
 * Runs the benchmark, or one of its processes.
 *
 * @param parameters - Parameters of the process.
 */
export async function runBenchCommand(parameters: readonly string[]): Promise<void> {
    const program = cac("bench");
    program
        .command("", "measure one node on loopback")
        .option("--seed <number>", "seed of prompt lengths and order", { default: defaultBenchOptions.seed })
        .option("--json", "print JSON")
        .option("--profile <folder>", "write a processor profile of the node")
        .action((flags: BenchFlags) => runBench(flags));
    program.command("backend", "run the backend process").action(() => runBenchBackend());
    program
        .command("node [...addresses]", "run the node process")
        .action((addresses: string[]) => runBenchNode(addresses));
    program.help();
    program.parse([...parameters], { run: false });
    await program.runMatchedCommand();
}

async function runBench(flags: BenchFlags): Promise<void> {
    const options: BenchOptions = { ...defaultBenchOptions, seed: Number(flags.seed) };
    const backends = await Promise.all(
        Array.from({ length: backendCount }, () => BenchProcess.start(["backend"])),
    );
    const addresses = backends.map((backend) => backend.address);
    const profileFlags = flags.profile === undefined ? [] : ["--cpu-prof", `--cpu-prof-dir=${flags.profile}`];
    const node = await BenchProcess.start(["node", ...addresses], profileFlags);
    try {
        const report = await measureAll(addresses[0] ?? "", node, options);
        const text = flags.json ? JSON.stringify(report, undefined, 2) : formatBenchReport(report);
        process.stdout.write(`${text}\n`);
    } finally {
        await Promise.all([node, ...backends].map((child) => child.stop()));
    }
}

async function measureAll(backend: string, node: BenchProcess, options: BenchOptions): Promise<BenchReport> {
    const latency = await measureLatency({ backend, node: node.address }, options);
    const shortRequests = await measureShortRequests(node, options);
    const streams = await measureStreams(node, options);
    const memory = await measureMemory(node, options);
    return {
        options,
        latency: latency.map(({ name, direct, node: through }) => ({
            name,
            samples: through.size,
            directMedianMs: direct.medianMs,
            nodeMedianMs: through.medianMs,
            directTailMs: direct.tailMs,
            nodeTailMs: through.tailMs,
        })),
        shortRequests,
        streams,
        memory,
    };
}
