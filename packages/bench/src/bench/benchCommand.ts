/**
 * Command-line program behind `npm run bench`.
 *
 * @packageDocumentation
 */
import { cac } from "cac";
import { runBenchBackend } from "./benchBackend.js";
import { runBenchNode } from "./benchNode.js";
import { defaultBenchOptions, type BenchOptions } from "./benchOptions.js";
import { BenchProcess } from "./benchProcess.js";
import { formatBenchReport, type BenchReport, type LatencyLine } from "./benchReport.js";
import { measureLatency, type SamplePair } from "./measureLatency.js";
import { measureMemory, measureShortRequests, measureStreams } from "./measureLoad.js";

const backendCount = 2;

/** Part of the benchmark that can run alone, for example to profile it. */
type BenchPart = "latency" | "requests" | "streams" | "memory";

interface BenchFlags {
    readonly seed: number;
    readonly json?: boolean;
    readonly profile?: string;
    readonly only?: BenchPart;
}

/**
 * Runs the benchmark, or one of its child processes.
 *
 * @param parameters - Command-line arguments of the process.
 */
export async function runBenchCommand(parameters: readonly string[]): Promise<void> {
    const program = cac("bench");
    program
        .command("", "measure one node on loopback")
        .option("--seed <number>", "seed of the prompt lengths and of the request order", {
            default: defaultBenchOptions.seed,
        })
        .option("--json", "print JSON")
        .option("--only <part>", "latency, requests, streams or memory")
        .option("--profile <folder>", "write a CPU profile of the node to this folder")
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
        const report = await measureParts(addresses[0] ?? "", node, options, flags.only);
        const text = flags.json ? JSON.stringify(report, undefined, 2) : formatBenchReport(report);
        process.stdout.write(`${text}\n`);
    } finally {
        await Promise.all([node, ...backends].map((child) => child.stop()));
    }
}

async function measureParts(
    backend: string,
    node: BenchProcess,
    options: BenchOptions,
    only: BenchPart | undefined,
): Promise<BenchReport> {
    const isSelected = (part: BenchPart): boolean => only === undefined || only === part;
    const addresses = { backend, node: node.address };
    const pairs = isSelected("latency") ? await measureLatency(addresses, options) : [];
    return {
        options,
        latency: pairs.map(summarizePair),
        shortRequests: isSelected("requests") ? await measureShortRequests(node, options) : undefined,
        streams: isSelected("streams") ? await measureStreams(node, options) : undefined,
        memory: isSelected("memory") ? await measureMemory(node, options) : undefined,
    };
}

function summarizePair({ name, direct, node }: SamplePair): LatencyLine {
    return {
        name,
        samples: node.size,
        directMedianMs: direct.medianMs,
        nodeMedianMs: node.medianMs,
        directTailMs: direct.tailMs,
        nodeTailMs: node.tailMs,
    };
}
