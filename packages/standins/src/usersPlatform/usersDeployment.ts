/**
 * Deployment for tests, soak runs and the demo: real node processes that use stand-ins for the users' platform and its
 * backend servers.
 *
 * @packageDocumentation
 */
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request as sendRequest } from "undici";
import { launchFile, type LaunchedProgram } from "../launcher/launchProgram.js";
import { findFreePort } from "./freePort.js";
import { buildServerEntry, buildUsersConfiguration, usersStreamEventCount } from "./usersConfiguration.js";
import { UsersPlatformStandIn } from "./usersPlatformStandIn.js";
import { UsersServerStandIn } from "./usersServerStandIn.js";

/** Options of a {@link UsersDeployment}. */
export interface UsersDeploymentOptions {
    /** Path of the node's program, which takes the path of its settings file as its only argument. */
    readonly programPath: string;
    readonly nodeCount: number;
    /** Length of a usage window, in seconds. */
    readonly usageWindowSeconds: number;
    /** Paths of the programs of further releases, which run side by side with the first one: nodes take them in turn. */
    readonly otherProgramPaths?: readonly string[];
    /** Number of data centres, to which nodes are added in turn, at most 5; 3 when absent. */
    readonly dataCentreCount?: number;
    /** Data centre of each node, by its position among them; nodes are added in turn when absent. */
    readonly dataCentreOfNodes?: readonly number[];
    /** Time within which a duty must not return to an earlier holder, in milliseconds; 1,000 when absent. */
    readonly leaseMs?: number;
    /** Arguments of the program before the path of the settings file. */
    readonly programParameters?: readonly string[];
    /** Environment variables of the nodes besides those of this process. */
    readonly environment?: Readonly<Record<string, string>>;
    /** Number of servers of the plain service; 2 when absent. */
    readonly plainCount?: number;
    /** Number of engines; 2 when absent. */
    readonly engineCount?: number;
    /** Settings of the nodes that differ from the defaults. */
    readonly settings?: Readonly<Record<string, unknown>>;
}

/** A node, its addresses and its process. */
export interface UsersNode {
    readonly name: string;
    readonly dataCentre: string;
    readonly callerAddress: string;
    readonly readinessAddress: string;
    readonly settingsPath: string;
    readonly programPath: string;
    readonly programParameters: readonly string[];
    readonly environment: Readonly<Record<string, string>>;
    program: LaunchedProgram;
}

/** IP addresses and ports of the store and of the duty endpoints. */
interface PlatformAddresses {
    readonly store: string;
    readonly cloud: string;
}

const loopbackHost = "127.0.0.1";
const defaultLeaseMs = 1_000;
const dataCentres = ["a", "b", "c", "d", "e"];
const defaultDataCentreCount = 3;
const defaultServerCount = 2;
const portTakenCode = "EADDRINUSE";
const maximumLaunches = 3;
/** Number of nodes that start at once: more of them would miss the launcher's timeout on a busy machine. */
const startBatch = 8;
/** Log event 1000, which the node writes when it has started. */
const readyPattern = /"event":(1000),/;

/** Starts and stops the platform, the backend servers and the nodes. */
export class UsersDeployment {
    readonly platform: UsersPlatformStandIn;
    readonly plain: readonly UsersServerStandIn[];
    readonly engines: readonly UsersServerStandIn[];
    readonly nodes: UsersNode[] = [];
    private readonly leaseMs: number;
    private settingsFolder = "";

    /** @param options - Node program, number of nodes and length of a usage window. */
    constructor(private readonly options: UsersDeploymentOptions) {
        this.leaseMs = options.leaseMs ?? defaultLeaseMs;
        this.platform = new UsersPlatformStandIn({ leaseMs: this.leaseMs });
        this.plain = createServers("plain", options.plainCount, 0);
        this.engines = createServers("engine", options.engineCount, usersStreamEventCount);
    }

    /** Starts the platform, the backend servers and all nodes. */
    async start(): Promise<void> {
        this.settingsFolder = await mkdtemp(join(tmpdir(), "pimentocleat-"));
        const addresses = await this.platform.open();
        for (const server of [...this.plain, ...this.engines]) {
            await server.open();
        }
        this.registerServers();
        const indexes = [...Array(this.options.nodeCount).keys()];
        while (indexes.length > 0) {
            const batch = indexes.splice(0, startBatch);
            this.nodes.push(...(await Promise.all(batch.map((index) => this.launchNode(index, addresses)))));
        }
    }

    /**
     * Writes the rows of the servers and the operator. A store that has come back from an older copy may have lost them, and
     * they write them again.
     */
    registerServers(): void {
        const { rows } = this.platform;
        for (const [service, servers] of Object.entries({ plain: this.plain, engines: this.engines })) {
            for (const [index, server] of servers.entries()) {
                const dataCentre = this.chooseServerDataCentre(index);
                const entry = buildServerEntry(service, server.getAddress(), { Zone: dataCentre });
                rows.putJson("servers", server.id, entry);
            }
        }
        rows.putJson("op", "config", buildUsersConfiguration(1));
    }

    /**
     * Starts a node whose process has exited, with its previous settings, except that it is not the first start.
     *
     * @param node - Node to start.
     */
    async startNode(node: UsersNode): Promise<void> {
        const settings = JSON.parse(await readFile(node.settingsPath, "utf8")) as Record<string, unknown>;
        await writeFile(node.settingsPath, JSON.stringify({ ...settings, isFirstStart: false }));
        node.program = await launchNodeProgram(node);
    }

    /**
     * Calls a node's readiness check.
     *
     * @param node - Node to check.
     * @returns HTTP status of the check, or undefined when the node does not respond.
     */
    async probeReadiness(node: UsersNode): Promise<number | undefined> {
        try {
            const answer = await sendRequest(`http://${node.readinessAddress}/-/ready`);
            await answer.body.dump();
            return answer.statusCode;
        } catch {
            return undefined;
        }
    }

    /** Stops all nodes, the backend servers and the platform, and removes the settings files. */
    async stop(): Promise<void> {
        await Promise.all(this.nodes.map(({ program }) => program.stop()));
        [...this.plain, ...this.engines].forEach((server) => server.close());
        this.platform.close();
        await rm(this.settingsFolder, { recursive: true, force: true });
    }

    /** Launches a node, and again with other ports when another program has taken one of them meanwhile. */
    private async launchNode(index: number, addresses: PlatformAddresses): Promise<UsersNode> {
        for (let launches = 1; ; launches += 1) {
            try {
                return await this.launchNodeOnce(index, addresses);
            } catch (error) {
                if (launches === maximumLaunches || !String(error).includes(portTakenCode)) {
                    throw error;
                }
            }
        }
    }

    private async launchNodeOnce(index: number, addresses: PlatformAddresses): Promise<UsersNode> {
        const name = `node-${String(index + 1)}`;
        const [callerPort, readinessPort, peerPort] = await Promise.all([
            findFreePort(),
            findFreePort(),
            findFreePort(),
        ]);
        const dataCentre = this.chooseDataCentre(index);
        const callerAddress = `${loopbackHost}:${String(callerPort)}`;
        const readinessAddress = `${loopbackHost}:${String(readinessPort)}`;
        const settings = {
            name,
            dataCentre,
            callerAddress,
            readinessAddress,
            peerHost: loopbackHost,
            peerPorts: [peerPort, peerPort],
            storeAddress: addresses.store,
            dutiesAddress: addresses.cloud,
            isFirstStart: true,
            memoryMegabytes: 200,
            processorShare: 0.675,
            stopGraceSeconds: 8,
            leaseMs: this.leaseMs,
            usageWindowSeconds: this.options.usageWindowSeconds,
            usageDueSeconds: 10,
            retryWindowSeconds: 10,
            retryShare: 0.2,
            retrySlack: 60,
            configurationApplyMs: 2_000,
            leavingNoticeMs: 2_000,
            ...this.options.settings,
        };
        const settingsPath = join(this.settingsFolder, `${name}.json`);
        await writeFile(settingsPath, JSON.stringify(settings));
        const programPath = this.chooseProgram(index);
        const { programParameters = [], environment = {} } = this.options;
        const launch = { programPath, settingsPath, programParameters, environment };
        const program = await launchNodeProgram(launch);
        return { ...launch, name, dataCentre, callerAddress, readinessAddress, program };
    }

    private chooseDataCentre(index: number): string {
        const count = this.options.dataCentreCount ?? defaultDataCentreCount;
        return dataCentres[this.options.dataCentreOfNodes?.[index] ?? index % count]!;
    }

    /** Servers are added to the data centres of the nodes in turn where those are given, and to the first one otherwise. */
    private chooseServerDataCentre(index: number): string {
        const used = [...new Set(this.options.dataCentreOfNodes ?? [0])];
        return dataCentres[used[index % used.length]!]!;
    }

    private chooseProgram(index: number): string {
        const { programPath, otherProgramPaths = [] } = this.options;
        const paths = [programPath, ...otherProgramPaths];
        return paths[index % paths.length]!;
    }
}

function createServers(name: string, count = defaultServerCount, eventCount: number): UsersServerStandIn[] {
    return Array.from(
        { length: count },
        (...[, index]) => new UsersServerStandIn(`${name}-${String(index + 1)}`, eventCount),
    );
}

function launchNodeProgram(
    node: Pick<UsersNode, "programPath" | "programParameters" | "settingsPath" | "environment">,
): Promise<LaunchedProgram> {
    return launchFile(node.programPath, [...node.programParameters, node.settingsPath], {
        readyPattern,
        environment: { ...process.env, ...node.environment },
    });
}
