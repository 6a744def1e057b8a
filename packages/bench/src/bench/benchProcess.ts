/**
 * Child processes of the benchmark and their messages with the parent process.
 *
 * @packageDocumentation
 */
import { fork, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";

const microsecondsPerMillisecond = 1_000;

/** Processor time and memory that a process has used since its start. */
export interface ProcessMeasurement {
    /** User and system processor time, in milliseconds. */
    readonly processorMs: number;
    /** JavaScript heap and external buffers after a garbage collection, in bytes. */
    readonly heapBytes: number;
    /** Resident memory, in bytes. */
    readonly residentBytes: number;
}

type ChildMessage =
    | { readonly type: "listening"; readonly address: string }
    | { readonly type: "measured"; readonly measurement: ProcessMeasurement };

/** Controls one child process of the benchmark. */
export class BenchProcess {
    private constructor(
        private readonly child: ChildProcess,
        /** IP address and port that the process listens on. */
        readonly address: string,
    ) {}

    /**
     * Starts a child process and waits until it listens.
     *
     * @param parameters - Subcommand of `bench.js` and its arguments.
     * @param flags - Command-line flags for Node.js.
     * @returns The running process.
     * @throws Error when the first message of the process is not its address.
     */
    static async start(parameters: readonly string[], flags: readonly string[] = []): Promise<BenchProcess> {
        const program = process.argv[1] ?? "";
        const child = fork(program, [...parameters], { execArgv: ["--expose-gc", ...flags] });
        const [message] = (await once(child, "message")) as [ChildMessage];
        if (message.type !== "listening") {
            throw new Error(
                `expected the child process to report its address, got the message "${message.type}"`,
            );
        }
        return new BenchProcess(child, message.address);
    }

    /**
     * Measures the process after a garbage collection.
     *
     * @returns Processor time and memory since the start of the process.
     * @throws Error when the process answers with another message.
     */
    async measure(): Promise<ProcessMeasurement> {
        this.child.send("measure");
        const [message] = (await once(this.child, "message")) as [ChildMessage];
        if (message.type !== "measured") {
            throw new Error(
                `expected the child process to report its usage, got the message "${message.type}"`,
            );
        }
        return message.measurement;
    }

    /** Stops the process and waits until it has exited. */
    async stop(): Promise<void> {
        const exited = once(this.child, "exit");
        this.child.send("stop");
        await exited;
    }
}

/**
 * Listens on a loopback port that the operating system picks, then serves the parent process.
 *
 * @param server - The HTTP server to start.
 */
export async function startListening(server: Server): Promise<void> {
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    serveMeasurements(`127.0.0.1:${(server.address() as AddressInfo).port}`);
}

/**
 * Reports the address to the parent process and answers its messages. Exits when the parent sends `stop` or disconnects.
 *
 * @param address - IP address and port that this process listens on.
 */
export function serveMeasurements(address: string): void {
    process.send?.({ type: "listening", address } satisfies ChildMessage);
    process.on("disconnect", () => process.exit(0));
    process.on("message", (message) => {
        if (message === "stop") {
            process.exit(0);
        }
        process.send?.({ type: "measured", measurement: measureProcess() } satisfies ChildMessage);
    });
}

function measureProcess(): ProcessMeasurement {
    globalThis.gc?.();
    const { user, system } = process.cpuUsage();
    const { heapUsed, external, rss } = process.memoryUsage();
    return {
        processorMs: (user + system) / microsecondsPerMillisecond,
        heapBytes: heapUsed + external,
        residentBytes: rss,
    };
}
