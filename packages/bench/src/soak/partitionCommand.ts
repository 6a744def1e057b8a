/**
 * Command-line program behind `npm run soak:partitions`, which partitions real node processes from all backend servers.
 *
 * @packageDocumentation
 */
import { cac } from "cac";
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import type { LinkState } from "@pimentocleat/standins";
import { planPartitions, type PartitionScope } from "./partitionPlan.js";
import {
    countCalls,
    isServedAlike,
    PartitionRun,
    type CallCount,
    type PartitionRecord,
} from "./partitionRun.js";

const ownAdapterPath = fileURLToPath(new URL("../../../../platform/lib/index.js", import.meta.url));
/** Bounds of the parts of a partition that are reported, in milliseconds after its start. */
const partBoundsMs = [0, 3_000, 9_000, Number.POSITIVE_INFINITY];

/**
 * Runs one deployment and prints how callers of partitioned nodes and of the others were served.
 *
 * @param parameters - Command-line arguments of the process.
 * @returns Exit code: 0 when they were served alike, 1 when not.
 */
export async function runPartitionCommand(parameters: readonly string[]): Promise<number> {
    const program = cac("partitions");
    program.option("--seed <number>", "seed of the plan", { default: 1 });
    program.option("--sizes <numbers>", "nodes in each data centre, such as 30,30; drawn when absent");
    program.option("--failure <state>", "hanging, reset or refusingNew; drawn when absent");
    program.option(
        "--scope <scope>",
        "dataCentre, allButOneDataCentre, third or twoThirds; drawn when absent",
    );
    program.option("--count <number>", "number of partitions", { default: 2 });
    program.option("--duration <milliseconds>", "length of each partition; drawn when absent");
    program.option("--adapter <path>", "module of the platform's adapter", { default: ownAdapterPath });
    program.option("--logs <path>", "file for the logs of the nodes");
    program.help();
    const { options } = program.parse([...parameters]);
    if (options.help) {
        return 0;
    }
    const plan = planPartitions(Number(options.seed), {
        failure: options.failure as LinkState | undefined,
        scope: options.scope as PartitionScope | undefined,
        dataCentreSizes:
            options.sizes === undefined ? undefined : String(options.sizes).split(",").map(Number),
        partitionCount: Number(options.count),
        durationMs: options.duration === undefined ? undefined : Number(options.duration),
    });
    process.stdout.write(
        `seed ${String(options.seed)}: ${String(plan.dataCentres.length)} nodes, links ${plan.failure}\n`,
    );
    const run = new PartitionRun(plan, String(options.adapter));
    const records = await run.run((record) => process.stdout.write(`${formatRecord(record)}\n`));
    if (options.logs !== undefined) {
        writeFileSync(String(options.logs), run.readLogs());
    }
    const isHeld = records.every(isServedAlike);
    process.stdout.write(isHeld ? "soak: ok\n" : "soak: failed\n");
    return isHeld ? 0 : 1;
}

function formatRecord(record: PartitionRecord): string {
    const { planned, calls } = record;
    const parts = partBoundsMs.slice(1).map((endMs, index) => {
        const { cut, others } = countCalls(record, partBoundsMs[index]!, endMs);
        return `${formatShare(cut)}/${formatShare(others)}`;
    });
    const failed = new Map<string, number>();
    for (const { kind, outcome, isServed, isCut } of calls) {
        const name = `${kind} ${isCut ? "cut" : "other"} ${outcome}`;
        if (!isServed) {
            failed.set(name, (failed.get(name) ?? 0) + 1);
        }
    }
    const list = [...failed].map(([name, count]) => `${name}: ${String(count)}`).join(", ");
    return (
        `${planned.scope}, ${String(planned.nodes.length)} nodes, ${String(planned.durationMs)} ms, ` +
        `served at them/at others ${parts.join(" ")}: ${isServedAlike(record) ? "ok" : "failed"}` +
        (list === "" ? "" : `\n  ${list}`)
    );
}

function formatShare({ count, served }: CallCount): string {
    return count === 0 ? "-" : `${(served / count).toFixed(2)} (${String(count)})`;
}
