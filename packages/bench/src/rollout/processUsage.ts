/**
 * Reads the processor time and memory of child processes from /proc.
 *
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";

/** Clock ticks per second in /proc/PID/stat (USER_HZ on Linux). */
const ticksPerSecond = 100;
const bytesPerKilobyte = 1_024;
const bytesPerMegabyte = 1_048_576;
/** Indexes of the user and system ticks among the fields after the program name in /proc/PID/stat. */
const userTicksField = 11;
const systemTicksField = 12;

/** Processor time since the start of a process, and its current memory. */
export interface ProcessUsage {
    readonly processorMs: number;
    readonly residentMegabytes: number;
}

/**
 * Reads the processor time and memory of a process.
 *
 * @param processId - Process identifier.
 * @returns Processor time, in milliseconds, and resident memory, in megabytes.
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
