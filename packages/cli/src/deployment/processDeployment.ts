/**
 * Runs stand-ins and nodes as processes on ports chosen by the operating system, for the demo, tests and measurements.
 *
 * @packageDocumentation
 */
import { randomBytes } from "node:crypto";
import { fileURLToPath } from "node:url";
import type { Configuration, Pool } from "@pimentocleat/schema";
import { launchFile, launchProgram, type LaunchedProgram } from "@pimentocleat/standins";

const secretBytes = 24;
const defaultNodeCount = 3;
/** Time for which a stopping node still accepts requests, in milliseconds. */
const defaultDrainDelayMs = 300;
const daemonPath = fileURLToPath(new URL("../../bin/pimentocleatd.js", import.meta.url));

/** A running node. */
export interface LaunchedNode {
    readonly name: string;
    readonly program: LaunchedProgram;
    readonly callerAddress: string;
    readonly operatorAddress: string;
    readonly peerAddress: string;
}

/** Options of a {@link ProcessDeployment}. */
export interface ProcessDeploymentOptions {
    /** The configuration whose backend servers are started. */
    readonly configuration: Configuration;
    /** Number of nodes; 3 when absent. */
    readonly nodeCount?: number;
    /** Additional flags of the platform stand-in. */
    readonly platformParameters?: readonly string[];
    /** Additional flags of every node. */
    readonly nodeParameters?: readonly string[];
}

/** Starts and stops the processes of a deployment. */
export class ProcessDeployment {
    readonly nodes: LaunchedNode[] = [];
    readonly serverAddresses = new Map<string, string>();
    readonly operatorCredential = randomBytes(secretBytes).toString("hex");
    private readonly peerSecret = randomBytes(secretBytes).toString("hex");
    private readonly poolCredentials = new Map<string, string>();
    private readonly programs: LaunchedProgram[] = [];

    private platform: LaunchedProgram | undefined;

    /** @param options - The configuration, the number of nodes and additional flags. */
    constructor(private readonly options: ProcessDeploymentOptions) {}

    /** The configuration whose backend servers were started. */
    get configuration(): Configuration {
        return this.options.configuration;
    }

    /** Address of the platform stand-in; empty before {@link ProcessDeployment.start}. */
    get platformAddress(): string {
        return this.platform?.address ?? "";
    }

    /** Starts the platform stand-in, the backend servers of all pools and the nodes. */
    async start(): Promise<void> {
        this.platform = await this.addProgram(launchProgram("platform", this.options.platformParameters));
        await Promise.all(this.configuration.pools.map((pool) => this.startPool(pool)));
        const dataCentres = this.configuration.pools.flatMap((pool) =>
            pool.servers.map((server) => server.dataCentre),
        );
        const distinct = [...new Set(dataCentres)];
        for (let index = 0; index < (this.options.nodeCount ?? defaultNodeCount); index += 1) {
            this.nodes.push(await this.startNode(index, distinct[index % distinct.length] ?? "local"));
        }
    }

    /** Stops all processes that still run. */
    async stop(): Promise<void> {
        await Promise.all(this.programs.map((program) => program.stop()));
    }

    /**
     * Lists the started processes, also those that have ended.
     *
     * @returns The process identifiers.
     */
    listProcessIds(): readonly number[] {
        return this.programs.map((program) => program.processId);
    }

    private async startPool(pool: Pool): Promise<void> {
        const credential = randomBytes(secretBytes).toString("hex");
        if (pool.credentialVariable !== undefined) {
            this.poolCredentials.set(pool.credentialVariable, credential);
        }
        const parameters = pool.credentialVariable === undefined ? [] : ["--credential", credential];
        await Promise.all(
            pool.servers.map(async (server) => {
                const slots = ["--slots", String(server.slots)];
                const program = await this.addProgram(
                    pool.kind === "model"
                        ? launchProgram("engine", [
                              ...parameters,
                              ...slots,
                              "--models",
                              pool.models.join(","),
                          ])
                        : launchProgram("plainService", [...parameters, ...slots]),
                );
                this.serverAddresses.set(server.name, program.address);
            }),
        );
    }

    private async startNode(index: number, dataCentre: string): Promise<LaunchedNode> {
        const name = `entry-${index + 1}`;
        const seeds = this.nodes.map((node) => node.peerAddress).join(",");
        const parameters = [
            ...["--name", name, "--data-centre", dataCentre],
            ...["--caller-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0"],
            ...["--peer-address", "127.0.0.1:0", "--platform-address", this.platformAddress],
            ...["--drain-delay-ms", String(defaultDrainDelayMs)],
            ...(seeds === "" ? [] : ["--peer-seeds", seeds]),
            ...(this.options.nodeParameters ?? []),
        ];
        const environment = {
            ...process.env,
            ...Object.fromEntries(this.poolCredentials),
            PIMENTOCLEAT_PEER_SECRET: this.peerSecret,
            PIMENTOCLEAT_OPERATOR_CREDENTIAL: this.operatorCredential,
        };
        const program = await this.addProgram(launchFile(daemonPath, parameters, { environment }));
        return {
            name,
            program,
            callerAddress: program.address,
            operatorAddress: readAddress(program, "operator"),
            peerAddress: readAddress(program, "peer"),
        };
    }

    private async addProgram(launching: Promise<LaunchedProgram>): Promise<LaunchedProgram> {
        const program = await launching;
        this.programs.push(program);
        return program;
    }
}

function readAddress(program: LaunchedProgram, kind: string): string {
    const match = new RegExp(`^${kind} (\\S+)$`, "m").exec(program.readStdout());
    if (match?.[1] === undefined) {
        throw new Error(`the node printed no ${kind} address:\n${program.readStdout()}`);
    }
    return match[1];
}
