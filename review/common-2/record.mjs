/**
 * Writes what was sent, answered and run to the record of a case, and ends the run with its verdict.
 */
import { writeFileSync } from "node:fs";
import { join } from "node:path";

/** Whether the run has its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** The record of one run. */
export class Record {
    /** @param folder - The folder of the case. */
    constructor(folder) {
        this.path = join(folder, "record.txt");
        this.startMs = performance.now();
        this.lines = [hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)"];
    }

    /** Writes a line with the time since the start of the run, or since a given time. */
    write(text, atMs = performance.now()) {
        this.lines.push(`${((atMs - this.startMs) / 1_000).toFixed(3).padStart(8)} s  ${text}`);
    }

    /** Stores the record and returns the exit code: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
    finish(exitCode, verdict) {
        this.lines.push(`verdict: ${verdict}`);
        writeFileSync(this.path, `${this.lines.join("\n")}\n`);
        process.stdout.write(`${verdict}\n`);
        return exitCode;
    }
}

/** Runs a case and ends the process with its exit code; an error means that the case couldn't run. */
export async function runCase(folder, run) {
    const record = new Record(folder);
    try {
        process.exit(await run(record));
    } catch (error) {
        process.exit(record.finish(2, `the case could not run: ${String(error?.stack ?? error)}`));
    }
}
