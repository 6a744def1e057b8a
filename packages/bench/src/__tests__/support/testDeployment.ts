/**
 * Deployment of nodes and stand-ins in one process, which communicate over real sockets and share one table
 * service in memory.
 *
 * @packageDocumentation
 */
import { startNode, type NodeHandle } from "@pimentocleat/node";
import { MemoryTableService } from "@pimentocleat/services";
import { createRandom, TieredScheduler } from "@pimentocleat/policy";
import { configurationSchema, type Configuration, type Key } from "@pimentocleat/schema";
import {
    startEngine,
    startPlainService,
    type EngineOptions,
    type RunningEngine,
    type RunningPlainService,
} from "@pimentocleat/standins";
import { TableClaimStore, type KeyLookup, type KeyRegistry, type UsageAmount } from "@pimentocleat/state";
import { MemoryMetrics, SilentLogger } from "@pimentocleat/telemetry";
import { SystemClock } from "@pimentocleat/types";
import { request } from "undici";

export const callerSecret = "pc-caller-secret-91c7";
export const poolCredential = "pool-credential-5d20";
export const model = "copy-1";

/** Numbers and settings of the nodes and stand-ins to start; each has a default. */
export interface DeploymentOptions {
    readonly nodes?: number;
    readonly engines?: number;
    readonly services?: number;
    readonly engine?: EngineOptions;
    readonly seed?: number;
}

/** Response of a node to a request. */
export interface CallAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
}

/** Request to a node. */
export interface CallOptions {
    /** Index of the node; the first one if absent. */
    readonly node?: number;
    readonly path: string;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Running nodes and stand-ins. */
export interface TestDeployment {
    readonly nodes: readonly NodeHandle[];
    readonly engines: readonly RunningEngine[];
    readonly services: readonly RunningPlainService[];
    readonly table: MemoryTableService;
    readonly metrics: MemoryMetrics;
    readonly usage: UsageAmount[];
    call(options: CallOptions): Promise<CallAnswer>;
    stop(): Promise<void>;
}

const key: Key = {
    id: "caller-key",
    customer: "volantino",
    digest: "0".repeat(64),
    defaultClass: "standard",
    limits: {},
    withdrawn: false,
};

const keys: KeyRegistry = {
    findKey: (secret): KeyLookup => (secret === callerSecret ? { type: "valid", key } : { type: "unknown" }),
    isWithdrawn: () => false,
    onWithdrawal: () => () => {},
};

function buildConfiguration(
    engines: readonly RunningEngine[],
    services: readonly RunningPlainService[],
): Configuration {
    const buildServers = (prefix: string, addresses: readonly string[]): object[] =>
        addresses.map((address, index) => ({
            name: `${prefix}-${index}`,
            address,
            dataCentre: "palermo",
            slots: 8,
        }));
    const credentialVariable = "POOL_CREDENTIAL";
    return configurationSchema.parse({
        customers: [{ name: "volantino" }],
        classes: [
            { name: "urgent", tier: 1, firstTokenMs: 2_000, completeMs: 20_000 },
            { name: "standard", tier: 2, firstTokenMs: 5_000, completeMs: 60_000 },
        ],
        pools: [
            {
                name: "engines",
                kind: "model",
                models: [model],
                credentialVariable,
                servers: buildServers(
                    "engine",
                    engines.map((engine) => engine.address),
                ),
            },
            {
                name: "orders",
                kind: "plain",
                credentialVariable,
                servers: buildServers(
                    "order",
                    services.map((service) => service.address),
                ),
            },
        ],
        routes: [
            { path: "/orders", methods: ["POST"], pool: "orders", repeatable: false, class: "urgent" },
            { path: "/bookings", methods: ["POST"], pool: "orders", repeatable: false, class: "urgent" },
            { path: "/jobs/*", methods: ["GET"], pool: "orders", repeatable: true, class: "standard" },
        ],
    });
}

/**
 * Starts the stand-ins and the nodes.
 *
 * @param options - Numbers and settings.
 * @returns The running deployment.
 */
export async function startDeployment(options: DeploymentOptions = {}): Promise<TestDeployment> {
    const { seed = 1 } = options;
    const engineOptions = {
        credential: poolCredential,
        tokenIntervalMs: 1,
        models: model,
        ...options.engine,
    };
    const engines = await Promise.all(
        [...Array(options.engines ?? 2).keys()].map(() => startEngine(engineOptions)),
    );
    const services = await Promise.all(
        [...Array(options.services ?? 1).keys()].map(() => startPlainService({ credential: poolCredential })),
    );
    const applied = { revision: 1, configuration: buildConfiguration(engines, services) };
    const table = new MemoryTableService();
    const metrics = new MemoryMetrics();
    const logger = new SilentLogger();
    const clock = new SystemClock();
    const usage: UsageAmount[] = [];
    const startOne = (index: number): Promise<NodeHandle> =>
        startNode({
            name: `entry-${index}`,
            dataCentre: "palermo",
            callerAddress: { host: "127.0.0.1", port: 0 },
            configuration: { readCurrent: () => applied, onChange: () => () => {} },
            keys,
            claims: new TableClaimStore({
                tableService: table,
                clock,
                random: createRandom(seed + index),
                logger,
                isOwnerDead: () => false,
            }),
            usage: { recordUsage: (amount) => usage.push(amount) },
            logger,
            metrics,
            clock,
            createScheduler: (configuration) =>
                new TieredScheduler({ configuration, clock, node: `entry-${index}` }),
            limits: { drainDelayMs: 0 },
            readCredential: () => poolCredential,
        });
    const nodes = await Promise.all([...Array(options.nodes ?? 1).keys()].map(startOne));
    return {
        nodes,
        engines,
        services,
        table,
        metrics,
        usage,
        call: (call) => callNode(nodes[call.node ?? 0] as NodeHandle, call),
        stop: async () => {
            await Promise.all(nodes.map((node) => node.abort()));
            await Promise.all([...engines, ...services].map((standIn) => standIn.close()));
        },
    };
}

async function callNode(node: NodeHandle, options: CallOptions): Promise<CallAnswer> {
    const answer = await request(`http://${node.callerAddress}${options.path}`, {
        method: options.body === undefined ? "GET" : "POST",
        headers: {
            authorization: `Bearer ${callerSecret}`,
            "content-type": "application/json",
            ...options.headers,
        },
        body: options.body === undefined ? undefined : JSON.stringify(options.body),
    });
    return { status: answer.statusCode, headers: answer.headers, text: await answer.body.text() };
}

/**
 * Reads the text of a streamed chat completion.
 *
 * @param stream - Text of the event stream.
 * @returns Concatenated content of all events.
 */
export function readStreamText(stream: string): string {
    return stream
        .split("\n")
        .filter((line) => line.startsWith("data: {"))
        .map((line) => JSON.parse(line.slice("data: ".length)))
        .map((event) => event.choices?.[0]?.delta?.content ?? "")
        .join("");
}
