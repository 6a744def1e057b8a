/**
 * The processes of the benchmark and the messages between them.
 *
 * @packageDocumentation
 */
import { fork, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";

const microsecondsPerMillisecond = 1_000;

/** What a process has used so far. */
export interface ProcessMeasurement {
    /** Processor time, user and system, in milliseconds. */
    readonly processorMs: number;
    /** Memory of the JavaScript heap and of buffers after a collection, in bytes. */
    readonly heapBytes: number;
    /** Resident memory, in bytes. */
    readonly residentBytes: number;
}

type ChildMessage =
    | { readonly type: "listening"; readonly address: string }
    | { readonly type: "measured"; readonly measurement: ProcessMeasurement };

/** A process of the benchmark. */
export class BenchProcess {
    private constructor(
        private readonly child: ChildProcess,
        /** IP address and port that it listens on. */
        readonly address: string,
    ) {}

    /**
     * Starts a process and waits until it listens.
     *
     * @param parameters - Role and settings, for the program `bench.js`.
     * @param flags - Flags of the JavaScript engine.
     * @returns The process.
     */
    static async start(parameters: readonly string[], flags: readonly string[] = []): Promise<BenchProcess> {
        const program = process.argv[1] ?? "";
        const child = fork(program, [...parameters], { execArgv: ["--expose-gc", ...flags] });
        const [message] = (await once(child, "message")) as [ChildMessage];
        if (message.type !== "listening") {
            throw new Error("the process did not report its address");
        }
        return new BenchProcess(child, message.address);
    }

    /** @returns What the process has used so far, after a garbage collection. */
    async measure(): Promise<ProcessMeasurement> {
        this.child.send("measure");
        const [message] = (await once(this.child, "message")) as [ChildMessage];
        if (message.type !== "measured") {
            throw new Error("the process did not report its use");
        }
        return message.measurement;
    }

    /** Ends the process. */
    async stop(): Promise<void> {
        const exited = once(this.child, "exit");
        this.child.send("stop");
        await exited;
    }
}

/**
 * Listens on a port that the system picks and reports to the parent process.
 *
 * @param server - The server.
 */
export async function startListening(server: Server): Promise<void> {
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    serveMeasurements(`127.0.0.1:${(server.address() as AddressInfo).port}`);
}

/**
 * Reports the address to the parent process and answers its messages.
 *
 * @param address - IP address and port.
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
