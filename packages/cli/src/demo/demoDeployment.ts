/**
 * The processes of the demo: stand-ins and nodes on ports that the system picks.
 *
 * @packageDocumentation
 */
import { randomBytes } from "node:crypto";
import { fileURLToPath } from "node:url";
import type { Configuration, Pool } from "@pimentocleat/schema";
import { launchFile, launchProgram, type LaunchedProgram } from "@pimentocleat/standins";

const nodeCount = 3;
const secretBytes = 24;
/** How long a stopping node of the demo still accepts requests, in milliseconds. */
const drainDelayMs = 300;
const daemonPath = fileURLToPath(new URL("../../bin/pimentocleatd.js", import.meta.url));

/** A running node. */
export interface DemoNode {
    readonly name: string;
    readonly program: LaunchedProgram;
    readonly callerAddress: string;
    readonly operatorAddress: string;
    readonly peerAddress: string;
}

/** All processes of the demo. */
export class DemoDeployment {
    readonly nodes: DemoNode[] = [];
    readonly serverAddresses = new Map<string, string>();
    readonly operatorCredential = randomBytes(secretBytes).toString("base64url");
    private readonly peerSecret = randomBytes(secretBytes).toString("base64url");
    private readonly poolCredentials = new Map<string, string>();
    private readonly programs: LaunchedProgram[] = [];

    /** @param configuration - The example; says which stand-ins to start. */
    constructor(readonly configuration: Configuration) {}

    /** Starts the platform, the backend servers of all pools and the nodes. */
    async start(): Promise<void> {
        const platform = await this.keep(launchProgram("platform"));
        await Promise.all(this.configuration.pools.map((pool) => this.startPool(pool)));
        const dataCentres = this.configuration.pools.flatMap((pool) =>
            pool.servers.map((server) => server.dataCentre),
        );
        const distinct = [...new Set(dataCentres)];
        for (let index = 0; index < nodeCount; index += 1) {
            const dataCentre = distinct[index % distinct.length] ?? "local";
            this.nodes.push(await this.startNode(index, dataCentre, platform.address));
        }
    }

    /** Stops what still runs. */
    async stop(): Promise<void> {
        await Promise.all(this.programs.map((program) => program.stop()));
    }

    /** @returns Process identifiers of all processes that were started. */
    listProcessIds(): readonly number[] {
        return this.programs.map((program) => program.processId);
    }

    private async startPool(pool: Pool): Promise<void> {
        const credential = randomBytes(secretBytes).toString("base64url");
        if (pool.credentialVariable !== undefined) {
            this.poolCredentials.set(pool.credentialVariable, credential);
        }
        const parameters = pool.credentialVariable === undefined ? [] : ["--credential", credential];
        await Promise.all(
            pool.servers.map(async (server) => {
                const slots = ["--slots", String(server.slots)];
                const program = await this.keep(
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

    private async startNode(index: number, dataCentre: string, platformAddress: string): Promise<DemoNode> {
        const name = `entry-${index + 1}`;
        const seeds = this.nodes.map((node) => node.peerAddress).join(",");
        const parameters = [
            ...["--name", name, "--data-centre", dataCentre],
            ...["--caller-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0"],
            ...["--peer-address", "127.0.0.1:0", "--platform-address", platformAddress],
            ...["--drain-delay-ms", String(drainDelayMs)],
            ...(seeds === "" ? [] : ["--peer-seeds", seeds]),
        ];
        const environment = {
            ...process.env,
            ...Object.fromEntries(this.poolCredentials),
            PIMENTOCLEAT_PEER_SECRET: this.peerSecret,
            PIMENTOCLEAT_OPERATOR_CREDENTIAL: this.operatorCredential,
        };
        const program = await this.keep(launchFile(daemonPath, parameters, { environment }));
        return {
            name,
            program,
            callerAddress: program.address,
            operatorAddress: readAddress(program, "operator"),
            peerAddress: readAddress(program, "peer"),
        };
    }

    private async keep(launching: Promise<LaunchedProgram>): Promise<LaunchedProgram> {
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
