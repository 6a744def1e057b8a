/**
 * Entry points that run the programs in the current process, with its arguments, streams and signals.
 *
 * @packageDocumentation
 */
import { SystemClock } from "@pimentocleat/types";
import type { TextSink } from "../output/output.js";
import { runDaemonProgram } from "./daemonProgram.js";
import { runOperatorProgram } from "./operatorProgram.js";

const stopSignals = ["SIGTERM", "SIGINT"] as const;
/** Index of the first argument in `process.argv`, after the interpreter and the script. */
const firstArgumentIndex = 2;

const processSink: TextSink = {
    writeLine: (line) => void process.stdout.write(`${line}\n`),
    writeErrorLine: (line) => void process.stderr.write(`${line}\n`),
};

function onStopSignal(listener: () => void): void {
    stopSignals.forEach((signal) => process.on(signal, listener));
}

/** Runs `pimentocleat` in this process. */
export async function runOperatorProcess(): Promise<void> {
    const controller = new AbortController();
    const parameters = process.argv.slice(firstArgumentIndex);
    if (parameters[0] === "config" && parameters[1] === "watch") {
        onStopSignal(() => controller.abort());
    }
    process.exitCode = await runOperatorProgram({
        parameters,
        environment: process.env,
        sink: processSink,
        clock: new SystemClock(),
        signal: controller.signal,
    });
}

/** Runs `pimentocleatd` in this process. */
export async function runDaemonProcess(): Promise<void> {
    const code = await runDaemonProgram({
        parameters: process.argv.slice(firstArgumentIndex),
        environment: process.env,
        sink: processSink,
        onStopSignal,
    });
    process.exit(code);
}
