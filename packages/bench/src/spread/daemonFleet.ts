/**
 * Several daemons as real processes before one platform stand-in.
 *
 * @packageDocumentation
 */
import { fileURLToPath } from "node:url";
import { launchFile, launchProgram, type LaunchedProgram } from "@pimentocleat/standins";
import { Client } from "undici";

const operatorCredential = "operator-credential-of-the-bench";
const daemonPath = fileURLToPath(new URL("../../../cli/bin/pimentocleatd.js", import.meta.url));
const seedNodes = 2;

/** One daemon and connections to it. */
export class FleetNode {
    private readonly operator: Client;
    private readonly caller: Client;

    /**
     * @param name - Name of the node.
     * @param program - Its process.
     */
    constructor(
        readonly name: string,
        readonly program: LaunchedProgram,
    ) {
        this.operator = new Client(`http://${readAddress(program, "operator")}`);
        this.caller = new Client(`http://${program.address}`);
    }

    /**
     * Calls the operator interface.
     *
     * @param method - The call.
     * @param message - The request.
     * @returns The answer as JSON.
     */
    async sendOperatorCall(method: string, message: unknown): Promise<Record<string, unknown>> {
        const answer = await this.operator.request({
            method: "POST",
            path: `/pimentocleat.v1.OperatorService/${method}`,
            headers: { "content-type": "application/json", authorization: `Bearer ${operatorCredential}` },
            body: JSON.stringify(message),
        });
        return (await answer.body.json()) as Record<string, unknown>;
    }

    /**
     * Sends a caller's request on a connection that is kept.
     *
     * @param secret - The caller's key.
     * @returns The status and the error kind.
     */
    async sendCallerRequest(secret: string): Promise<string> {
        const answer = await this.caller.request({
            method: "GET",
            path: "/probe",
            headers: { authorization: `Bearer ${secret}` },
        });
        return `${String(answer.statusCode)} ${await answer.body.text()}`;
    }

    /** Closes the connections and stops the process. */
    async stop(): Promise<void> {
        await Promise.all([this.operator.destroy(), this.caller.destroy()]);
        await this.program.stop();
    }
}

/** A platform stand-in and daemons. */
export class DaemonFleet {
    private constructor(
        private readonly platform: LaunchedProgram,
        readonly nodes: readonly FleetNode[],
    ) {}

    /**
     * Starts the platform and the daemons.
     *
     * @param nodeCount - Number of daemons.
     * @returns The fleet, each daemon listening.
     */
    static async start(nodeCount: number): Promise<DaemonFleet> {
        const platform = await launchProgram("platform");
        const nodes: FleetNode[] = [];
        for (let index = 0; index < nodeCount; index += 1) {
            const seeds = nodes.slice(0, seedNodes).map((node) => readAddress(node.program, "peer"));
            const name = `node-${String(index)}`;
            nodes.push(new FleetNode(name, await startDaemonProcess(name, platform.address, seeds)));
        }
        return new DaemonFleet(platform, nodes);
    }

    /**
     * Makes each call of the table service take longer.
     *
     * @param delayMs - The extra time in milliseconds; 0 for none.
     */
    async setStoreDelay(delayMs: number): Promise<void> {
        const faults = delayMs === 0 ? [] : [{ kind: "delay", delayMs, service: "table" }];
        await fetch(`http://${this.platform.address}/faults`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ faults }),
        });
    }

    /** Stops all processes. */
    async stop(): Promise<void> {
        await Promise.all(this.nodes.map((node) => node.stop()));
        await this.platform.stop();
    }
}

function startDaemonProcess(
    name: string,
    platformAddress: string,
    seeds: readonly string[],
): Promise<LaunchedProgram> {
    const environment = {
        ...process.env,
        PIMENTOCLEAT_DATA_CENTRE: "bench",
        PIMENTOCLEAT_PLATFORM_ADDRESS: platformAddress,
        PIMENTOCLEAT_PEER_SECRET: "peer-secret-of-the-bench",
        PIMENTOCLEAT_OPERATOR_CREDENTIAL: operatorCredential,
        PIMENTOCLEAT_CALLER_ADDRESS: "127.0.0.1:0",
        PIMENTOCLEAT_OPERATOR_ADDRESS: "127.0.0.1:0",
        PIMENTOCLEAT_PEER_ADDRESS: "127.0.0.1:0",
        PIMENTOCLEAT_DRAIN_DELAY_MS: "0",
    };
    const seedFlags = seeds.length === 0 ? [] : ["--peer-seeds", seeds.join(",")];
    return launchFile(daemonPath, ["--name", name, ...seedFlags], { environment });
}

function readAddress(program: LaunchedProgram, what: "operator" | "peer"): string {
    return new RegExp(`^${what} (\\S+)$`, "m").exec(program.readStdout())?.[1] ?? "";
}
