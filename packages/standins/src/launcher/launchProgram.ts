/**
 * Starts programs as child processes for tests, the demo and benchmarks.
 *
 * @packageDocumentation
 */
import { spawn, type ChildProcess } from "node:child_process";
import { fileURLToPath } from "node:url";

const defaultReadyTimeoutMs = 20_000;
const defaultStopTimeoutMs = 20_000;
const maximumOutputCharacters = 1_000_000;
/** Output that the error of a failed start quotes. */
const errorOutputCharacters = 2_000;
const listeningPattern = /^listening (\S+)$/m;
const runningChildren = new Set<ChildProcess>();

/** Kills the programs when this process exits; they survive only if it is killed by a signal. */
process.once("exit", () => runningChildren.forEach((child) => child.kill("SIGKILL")));

/** Names of the stand-in programs. */
export type StandInName = "crowd" | "engine" | "plainService" | "platform";

/** How to launch a program. */
export interface LaunchOptions {
    /** Environment variables of the program; defaults to those of this process. */
    readonly environment?: NodeJS.ProcessEnv;
    /**
     * Matches the line on stdout that reports readiness; its first group becomes the address. Defaults to a
     * `listening ADDRESS` line.
     */
    readonly readyPattern?: RegExp;
    /** Maximum time until the program is ready, in milliseconds; defaults to 20,000. */
    readonly readyTimeoutMs?: number;
}

/** Exit code or signal with which a program ended. */
export interface ProgramExit {
    readonly code: number | undefined;
    readonly signal: NodeJS.Signals | undefined;
}

/** A program that runs as a child process. */
export interface LaunchedProgram {
    /** Address from the ready line, usually an IP address and port. */
    readonly address: string;
    readonly processId: number;
    /** Resolves when the program has ended. */
    readonly exited: Promise<ProgramExit>;
    /** @returns The program's stdout so far, limited to the last million characters. */
    readStdout(): string;
    /** @returns The program's stderr so far, limited to the last million characters. */
    readStderr(): string;
    /**
     * Sends a signal to this child process only, not to its process group.
     *
     * @param signal - Signal to send.
     */
    sendSignal(signal: NodeJS.Signals): void;
    /**
     * Stops the program with SIGTERM, and with SIGKILL when it has not exited after the timeout.
     *
     * @param timeoutMs - Time until SIGKILL, in milliseconds; defaults to 20,000.
     * @returns The exit code or signal.
     */
    stop(timeoutMs?: number): Promise<ProgramExit>;
}

/**
 * Launches a stand-in and waits for its `listening` line.
 *
 * @param name - Name of the stand-in.
 * @param parameters - Command-line flags.
 * @param options - Environment and readiness check.
 * @returns The running program; rejects when it exits early or is not ready in time.
 */
export async function launchProgram(
    name: StandInName,
    parameters: readonly string[] = [],
    options: LaunchOptions = {},
): Promise<LaunchedProgram> {
    const path = fileURLToPath(new URL(`../../bin/${name}.js`, import.meta.url));
    return launchFile(path, parameters, options);
}

/**
 * Launches a Node.js program and waits until it is ready.
 *
 * @param path - Path of the script.
 * @param parameters - Command-line flags.
 * @param options - Environment and readiness check.
 * @returns The running program; rejects when it exits early or is not ready in time.
 */
export async function launchFile(
    path: string,
    parameters: readonly string[] = [],
    options: LaunchOptions = {},
): Promise<LaunchedProgram> {
    const child = spawn(process.execPath, [path, ...parameters], {
        env: options.environment ?? process.env,
        stdio: ["ignore", "pipe", "pipe"],
    });
    const program = new ChildProgram(child, path);
    try {
        await program.waitUntilReady(options);
    } catch (error) {
        program.sendSignal("SIGKILL");
        throw error;
    }
    return program;
}

class ChildProgram implements LaunchedProgram {
    address = "";
    readonly exited: Promise<ProgramExit>;
    private stdout = "";
    private stderr = "";
    private onOutput: () => void = () => {};

    constructor(
        private readonly child: ChildProcess,
        private readonly path: string,
    ) {
        runningChildren.add(child);
        this.exited = new Promise((resolve, reject) => {
            child.once("error", reject);
            child.once("close", (code, signal) => {
                runningChildren.delete(child);
                resolve({ code: code ?? undefined, signal: signal ?? undefined });
            });
        });
        child.stdout?.setEncoding("utf8").on("data", (text: string) => {
            this.stdout = (this.stdout + text).slice(-maximumOutputCharacters);
            this.onOutput();
        });
        child.stderr?.setEncoding("utf8").on("data", (text: string) => {
            this.stderr = (this.stderr + text).slice(-maximumOutputCharacters);
        });
    }

    get processId(): number {
        return this.child.pid ?? 0;
    }

    readStdout(): string {
        return this.stdout;
    }

    readStderr(): string {
        return this.stderr;
    }

    sendSignal(signal: NodeJS.Signals): void {
        this.child.kill(signal);
    }

    async stop(timeoutMs = defaultStopTimeoutMs): Promise<ProgramExit> {
        this.sendSignal("SIGTERM");
        const timer = setTimeout(() => this.sendSignal("SIGKILL"), timeoutMs);
        return this.exited.finally(() => clearTimeout(timer));
    }

    async waitUntilReady(options: LaunchOptions): Promise<void> {
        const pattern = options.readyPattern ?? listeningPattern;
        const timeoutMs = options.readyTimeoutMs ?? defaultReadyTimeoutMs;
        let timer: NodeJS.Timeout | undefined;
        const ready = new Promise<void>((resolve, reject) => {
            timer = setTimeout(
                () => reject(this.buildError("did not report readiness before the timeout")),
                timeoutMs,
            );
            this.onOutput = () => {
                const match = pattern.exec(this.stdout);
                if (match) {
                    this.address = match[1] ?? "";
                    this.onOutput = () => {};
                    resolve();
                }
            };
            void this.exited.then(() => reject(this.buildError("exited before it was ready")), reject);
        });
        await ready.finally(() => clearTimeout(timer));
    }

    private buildError(reason: string): Error {
        const lastOutput = this.stdout.slice(-errorOutputCharacters);
        return new Error(`${this.path} ${reason}; stderr: ${this.stderr}; stdout ends: ${lastOutput}`);
    }
}
