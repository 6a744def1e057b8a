/**
 * All calls of the platform's HTTP clients, used as cases of the fault tests.
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
} from "@pimentocleat/services";
import type { RunningPlatform } from "../../index.js";

/** Timeout of a call that gets no response, in milliseconds. */
export const hangTimeoutMs = 250;

/** Timeout of all other calls, in milliseconds; long enough that it never expires. */
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

/** A write that commits. */
export const sampleWrite = { conditions: [], writes: [{ table: "b", key: "k", value: 1 }] };

/** A report that the platform accepts. */
export const sampleReport: UsageReport = {
    windowStartMs: 60_000,
    windowMs: 60_000,
    customers: [{ customer: "chain", requests: 1, promptTokens: 2, completionTokens: 3 }],
    fencingNumber: 1,
    sender: "entry-1",
};

/** One call of a client. */
export interface PlatformCallCase {
    readonly name: string;
    readonly service: string;
    readonly run: (options: PlatformHttpOptions) => Promise<unknown>;
    /** Result of a successful call. */
    readonly answer: unknown;
    /** Counts how often the call took effect; absent for calls that change nothing. */
    readonly countEffects?: (platform: RunningPlatform) => number | Promise<number>;
}

/** All calls of the platform's clients. */
export const platformCalls: readonly PlatformCallCase[] = [
    {
        name: "read a row",
        service: "table",
        answer: undefined,
        run: (options) => withClients(options, ({ table }) => table.readRow("a", "k")),
    },
    {
        name: "scan rows",
        service: "table",
        answer: [],
        run: (options) => withClients(options, ({ table }) => table.scanRows("a")),
    },
    {
        name: "commit a transaction",
        service: "table",
        answer: { outcome: "committed", version: 1 },
        run: (options) => withClients(options, ({ table }) => table.commitTransaction(sampleWrite)),
        countEffects: async (platform) => (await platform.table.scanRows("b")).length,
    },
    {
        name: "put an object",
        service: "objects",
        answer: undefined,
        run: (options) => withClients(options, ({ objects }) => objects.putObject("a/b", Buffer.from("x"))),
        countEffects: async ({ address }) => {
            const content = await withClients({ address }, ({ objects }) => objects.getObject("a/b"));
            return content === undefined ? 0 : 1;
        },
    },
    {
        name: "get an object",
        service: "objects",
        answer: undefined,
        run: (options) => withClients(options, ({ objects }) => objects.getObject("none")),
    },
    {
        name: "list hosts",
        service: "hosts",
        answer: [],
        run: (options) => withClients(options, ({ hosts }) => hosts.listHosts()),
    },
    {
        name: "order servers",
        service: "ordering",
        answer: { outcome: "accepted" },
        run: (options) =>
            withClients(options, ({ ordering }) => ordering.orderServers(sampleOrder, getTimeoutMs(options))),
        countEffects: (platform) => platform.readRecord().orders.length,
    },
    {
        name: "report usage",
        service: "usageReports",
        answer: undefined,
        run: (options) =>
            withClients(options, ({ usage }) => usage.reportUsage(sampleReport, getTimeoutMs(options))),
        countEffects: (platform) => platform.readRecord().usageReports.length,
    },
    {
        name: "list weights",
        service: "weights",
        answer: [],
        run: (options) => withClients(options, ({ weights }) => weights.listWeights()),
    },
];

function getTimeoutMs(options: PlatformHttpOptions): number {
    return options.timeoutMs ?? callTimeoutMs;
}

function buildClients(options: PlatformHttpOptions) {
    return {
        table: new HttpTableService(options),
        objects: new HttpObjectStore(options),
        hosts: new HttpHostList(options),
        ordering: new HttpOrderingService(options),
        usage: new HttpUsageReportService(options),
        weights: new HttpWeightStore(options),
    };
}

/**
 * Runs an action with clients of all services, then closes the clients.
 *
 * @param options - Address of the platform and client settings.
 * @param action - Action to run.
 * @returns The result of the action.
 */
export async function withClients<Result>(
    options: PlatformHttpOptions,
    action: (clients: ReturnType<typeof buildClients>) => Promise<Result>,
): Promise<Result> {
    const clients = buildClients(options);
    try {
        return await action(clients);
    } finally {
        await Promise.all(Object.values(clients).map((client) => client.close()));
    }
}
