/**
 * Starts programs as child processes for tests, the demo and the bench.
 *
 * @packageDocumentation
 */
import { spawn, type ChildProcess } from "node:child_process";
import { fileURLToPath } from "node:url";

const defaultReadyTimeoutMs = 20_000;
const defaultStopTimeoutMs = 20_000;
const maximumOutputCharacters = 1_000_000;
const listeningPattern = /^listening (\S+)$/m;
const runningChildren = new Set<ChildProcess>();

/** Programs do not outlive this process, unless it is killed. */
process.once("exit", () => runningChildren.forEach((child) => child.kill("SIGKILL")));

/** Names of the stand-in programs. */
export type StandInName = "engine" | "plainService" | "platform";

/** How to launch a program. */
export interface LaunchOptions {
    /** Environment of the program; this process's when absent. */
    readonly environment?: NodeJS.ProcessEnv;
    /** What the program prints on stdout when it is ready; the first group is its address. */
    readonly readyPattern?: RegExp;
    /** Bound on the start, in milliseconds; 20,000 when absent. */
    readonly readyTimeoutMs?: number;
}

/** How a program ended. */
export interface ProgramExit {
    readonly code: number | undefined;
    readonly signal: NodeJS.Signals | undefined;
}

/** A program that runs as a child process. */
export interface LaunchedProgram {
    /** What the ready line told, usually IP address and port. */
    readonly address: string;
    readonly processId: number;
    /** Resolves when the program has ended. */
    readonly exited: Promise<ProgramExit>;
    /** What the program has written to stdout, at most the last million characters. */
    readStdout(): string;
    /** What the program has written to stderr, at most the last million characters. */
    readStderr(): string;
    /**
     * Sends a signal to this process only, by its identifier.
     *
     * @param signal - The signal.
     */
    sendSignal(signal: NodeJS.Signals): void;
    /**
     * Stops the program: SIGTERM, and SIGKILL after a bound.
     *
     * @param timeoutMs - The bound, in milliseconds; 20,000 when absent.
     * @returns How it ended.
     */
    stop(timeoutMs?: number): Promise<ProgramExit>;
}

/**
 * Launches a stand-in and waits for its `listening` line.
 *
 * @param name - Which stand-in.
 * @param parameters - Its flags.
 * @param options - How to launch it.
 * @returns The running program.
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
 * @param path - Path of its script.
 * @param parameters - Its flags.
 * @param options - How to launch it.
 * @returns The running program.
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
            timer = setTimeout(() => reject(this.buildError("was not ready in time")), timeoutMs);
            this.onOutput = () => {
                const match = pattern.exec(this.stdout);
                if (match) {
                    this.address = match[1] ?? "";
                    this.onOutput = () => {};
                    resolve();
                }
            };
            void this.exited.then(() => reject(this.buildError("ended before it was ready")), reject);
        });
        await ready.finally(() => clearTimeout(timer));
    }

    private buildError(reason: string): Error {
        return new Error(`${this.path} ${reason}; stderr: ${this.stderr}`);
    }
}
