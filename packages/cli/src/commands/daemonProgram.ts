/**
 * The program `pimentocleatd`.
 *
 * @packageDocumentation
 */
import { readFileSync } from "node:fs";
import { createPlatformServices, Daemon } from "@pimentocleat/node";
import {
    formatSettingsHelp,
    readSettings,
    SettingsError,
    type Settings,
    type SettingsRequest,
} from "@pimentocleat/schema";
import { ConsolaLogger, MemoryMetrics, StatsdMetrics, type Metrics } from "@pimentocleat/telemetry";
import { SystemClock } from "@pimentocleat/types";
import { ExitCode } from "../output/exitCodes.js";
import type { TextSink } from "../output/output.js";

const programVersion = "0.1.0";

/** Command line, environment, output and signals of the daemon program. */
export interface DaemonProgramInput {
    /** The command-line arguments, without the interpreter and the script. */
    readonly parameters: readonly string[];
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly sink: TextSink;
    /** Registers a listener for stop signals: the first signal stops the node gracefully, the second immediately. */
    readonly onStopSignal: (listener: () => void) => void;
}

/**
 * Runs the daemon until a stop signal arrives.
 *
 * @param input - The command line and its environment.
 * @returns The exit code.
 */
export async function runDaemonProgram(input: DaemonProgramInput): Promise<ExitCode> {
    const { sink } = input;
    let request: SettingsRequest;
    try {
        request = readSettings({
            flags: input.parameters,
            environment: input.environment,
            readFile: (path) => readFileSync(path, "utf8"),
        });
    } catch (error) {
        if (!(error instanceof SettingsError)) {
            throw error;
        }
        error.problems.forEach((problem) => sink.writeErrorLine(problem));
        return ExitCode.WrongUsage;
    }
    switch (request.type) {
        case "help":
            sink.writeLine(formatSettingsHelp().trimEnd());
            return ExitCode.Success;
        case "version":
            sink.writeLine(programVersion);
            return ExitCode.Success;
        case "check":
            sink.writeLine("the settings are valid");
            return ExitCode.Success;
        case "run":
            return runDaemon(request.settings, input);
    }
}

async function runDaemon(settings: Settings, input: DaemonProgramInput): Promise<ExitCode> {
    const { sink } = input;
    const logger = new ConsolaLogger({
        format: settings.logFormat,
        level: settings.logLevel,
        fields: { node: settings.name, dataCentre: settings.dataCentre },
        writeLine: (line) => sink.writeErrorLine(line),
    });
    const daemon = new Daemon({
        settings,
        services: createPlatformServices(settings.platformAddress),
        logger,
        metrics: createMetrics(settings),
        clock: new SystemClock(),
        random: Math.random,
        readCredential: (variable) => input.environment[variable],
    });
    const stopped = waitForStop(daemon, input);
    try {
        const addresses = await daemon.start();
        sink.writeLine(`operator ${addresses.operator}`);
        sink.writeLine(`peer ${addresses.peer}`);
        sink.writeLine(`listening ${addresses.caller}`);
    } catch (error) {
        logger.writeEvent("unexpectedError", {
            message: error instanceof Error ? error.message : String(error),
        });
        return ExitCode.Failure;
    }
    return stopped;
}

function waitForStop(daemon: Daemon, input: DaemonProgramInput): Promise<ExitCode> {
    return new Promise((resolve, reject) => {
        let signalCount = 0;
        input.onStopSignal(() => {
            signalCount += 1;
            if (signalCount === 1) {
                daemon.stop().then(() => resolve(ExitCode.Success), reject);
            } else {
                daemon.abort().then(() => resolve(ExitCode.Failure), reject);
            }
        });
    });
}

function createMetrics(settings: Settings): Metrics {
    if (settings.statsdAddress === undefined) {
        return new MemoryMetrics();
    }
    const [host = "", port = "0"] = settings.statsdAddress.split(":");
    const tags = { node: settings.name, dataCentre: settings.dataCentre };
    return new StatsdMetrics({ host, port: Number(port), prefix: settings.metricsPrefix, tags });
}
