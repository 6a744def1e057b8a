/**
 * Every call of the platform's clients, for the tables of fault cases.
 *
 * @packageDocumentation
 */
import {
    HttpHostList,
    HttpObjectStore,
    HttpOrderingService,
    HttpTableService,
    HttpUsageReportService,
    HttpWeightStore,
    type PlatformHttpOptions,
    type ServerOrder,
    type UsageReport,
} from "@pimentocleat/platform";
import type { RunningPlatform } from "../../index.js";

/** Bound on a call that is to get no answer, in milliseconds. */
export const hangTimeoutMs = 250;

/** Bound on any other call, in milliseconds; never reached. */
export const callTimeoutMs = 30_000;

/** An order that the platform accepts. */
export const sampleOrder: ServerOrder = {
    pool: "copywriting",
    dataCentre: "palermo",
    reclaimable: true,
    count: 6,
    generation: 1,
    fencingNumber: 1,
    sender: "entry-1",
};

/** A report that the platform accepts. */
export const sampleReport: UsageReport = {
    windowStartMs: 60_000,
    windowMs: 60_000,
    customers: [{ customer: "chain", requests: 1, promptTokens: 2, completionTokens: 3 }],
    fencingNumber: 1,
    sender: "entry-1",
};

/** One call. */
export interface PlatformCallCase {
    readonly name: string;
    readonly service: string;
    readonly run: (options: PlatformHttpOptions) => Promise<unknown>;
    /** What a successful call answers. */
    readonly answer: unknown;
    /** How often the call took effect; undefined for a call without effect. */
    readonly countEffects?: (platform: RunningPlatform) => number | Promise<number>;
}

/** All calls. */
export const platformCalls: readonly PlatformCallCase[] = [
    {
        name: "read a row",
        service: "table",
        answer: undefined,
        run: (options) => withClient(new HttpTableService(options), (client) => client.readRow("a", "k")),
    },
    {
        name: "scan rows",
        service: "table",
        answer: [],
        run: (options) => withClient(new HttpTableService(options), (client) => client.scanRows("a")),
    },
    {
        name: "commit a transaction",
        service: "table",
        answer: { outcome: "committed", version: 1 },
        run: (options) =>
            withClient(new HttpTableService(options), (client) =>
                client.commitTransaction({ conditions: [], writes: [{ table: "b", key: "k", value: 1 }] }),
            ),
        countEffects: async (platform) => (await platform.table.scanRows("b")).length,
    },
    {
        name: "put an object",
        service: "objects",
        answer: undefined,
        run: (options) =>
            withClient(new HttpObjectStore(options), (client) => client.putObject("a/b", Buffer.from("x"))),
        countEffects: async ({ address }) => {
            const reader = new HttpObjectStore({ address });
            const content = await withClient(reader, (client) => client.getObject("a/b"));
            return content === undefined ? 0 : 1;
        },
    },
    {
        name: "get an object",
        service: "objects",
        answer: undefined,
        run: (options) => withClient(new HttpObjectStore(options), (client) => client.getObject("none")),
    },
    {
        name: "list hosts",
        service: "hosts",
        answer: [],
        run: (options) => withClient(new HttpHostList(options), (client) => client.listHosts()),
    },
    {
        name: "order servers",
        service: "ordering",
        answer: { outcome: "accepted" },
        run: (options) =>
            withClient(new HttpOrderingService(options), (client) =>
                client.orderServers(sampleOrder, options.timeoutMs ?? callTimeoutMs),
            ),
        countEffects: (platform) => platform.readRecord().orders.length,
    },
    {
        name: "report usage",
        service: "usageReports",
        answer: undefined,
        run: (options) =>
            withClient(new HttpUsageReportService(options), (client) =>
                client.reportUsage(sampleReport, options.timeoutMs ?? callTimeoutMs),
            ),
        countEffects: (platform) => platform.readRecord().usageReports.length,
    },
    {
        name: "list weights",
        service: "weights",
        answer: [],
        run: (options) => withClient(new HttpWeightStore(options), (client) => client.listWeights()),
    },
];

/**
 * Runs an action with a client and closes the client.
 *
 * @param client - The client.
 * @param action - The action.
 * @returns The action's result.
 */
export async function withClient<Client extends { close(): Promise<void> }, Result>(
    client: Client,
    action: (client: Client) => Promise<Result>,
): Promise<Result> {
    try {
        return await action(client);
    } finally {
        await client.close();
    }
}
