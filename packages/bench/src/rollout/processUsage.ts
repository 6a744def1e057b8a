/**
 * Processor time and memory of processes that this program has started.
 *
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";

const ticksPerSecond = 100;
const bytesPerKilobyte = 1_024;
const bytesPerMegabyte = 1_048_576;
/** Places of the user and system ticks after the program's name in /proc/PID/stat. */
const userTicksField = 11;
const systemTicksField = 12;

/** Use of one process so far. */
export interface ProcessUsage {
    readonly processorMs: number;
    readonly residentMegabytes: number;
}

/**
 * Reads the use of a process.
 *
 * @param processId - The process.
 * @returns Its processor time and its resident memory.
 */
export async function readProcessUsage(processId: number): Promise<ProcessUsage> {
    const stat = await readFile(`/proc/${processId}/stat`, "utf8");
    const status = await readFile(`/proc/${processId}/status`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[userTicksField]) + Number(fields[systemTicksField]);
    const residentKilobytes = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
    return {
        processorMs: (ticks * 1_000) / ticksPerSecond,
        residentMegabytes: (residentKilobytes * bytesPerKilobyte) / bytesPerMegabyte,
    };
}
