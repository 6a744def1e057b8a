/**
 * The platform stand-in: all services of the platform in one HTTP server.
 *
 * @packageDocumentation
 */
import type { FastifyInstance } from "fastify";
import {
    MemoryTableService,
    hostListAnswerSchema,
    serverOrderSchema,
    usageReportSchema,
    weightListAnswerSchema,
    type ListedHost,
    type OrderResult,
    type WeightEntry,
} from "@pimentocleat/services";
import { SystemClock, type Clock } from "@pimentocleat/types";
import type { CallCounts } from "../faults/callCounter.js";
import { findFault } from "../faults/faultSwitches.js";
import type { Fault } from "../faults/faultSchema.js";
import { TokenBucket } from "../faults/tokenBucket.js";
import { LaggingValue } from "../program/laggingValue.js";
import { buildStandInServer, startListening, type RunningStandIn } from "../program/standInServer.js";
import { registerObjectRoutes } from "./objectRoutes.js";
import { OrderLog, type ReceivedOrder } from "./orderLog.js";
import { platformOptionsSchema, type PlatformOptions } from "./platformOptions.js";
import { registerTableRoutes } from "./tableRoutes.js";
import { UsageReportLog, type ReceivedUsageReport } from "./usageReportLog.js";

/** What the platform received. */
export interface PlatformRecord {
    readonly orders: readonly ReceivedOrder[];
    readonly usageReports: readonly ReceivedUsageReport[];
    readonly callCounts: CallCounts;
}

/** A platform stand-in that runs in this process. */
export interface RunningPlatform extends RunningStandIn {
    /** The tables, for direct reads in tests. */
    readonly table: MemoryTableService;
    /** Changes the host list; it shows after the lag. */
    setHosts(hosts: readonly ListedHost[]): void;
    /** Changes the weights that engines can load. */
    setWeights(weights: readonly WeightEntry[]): void;
    /** What the platform received so far. */
    readRecord(): PlatformRecord;
}

interface PlatformState {
    readonly hosts: LaggingValue<readonly ListedHost[]>;
    readonly orders: OrderLog;
    readonly usageReports: UsageReportLog;
    readonly weightReadLimit: TokenBucket;
    readonly readRecord: () => PlatformRecord;
    weights: readonly WeightEntry[];
}

/**
 * Starts the platform stand-in.
 *
 * @param options - Settings.
 * @param clock - Source of time.
 * @returns The running stand-in.
 */
export async function startPlatform(
    options: PlatformOptions = {},
    clock: Clock = new SystemClock(),
): Promise<RunningPlatform> {
    const settings = platformOptionsSchema.parse(options);
    const standIn = buildStandInServer();
    const table = new MemoryTableService();
    const reads = new TokenBucket(settings.readsPerSecond, clock);
    const writes = new TokenBucket(settings.writesPerSecond, clock);
    let lastArrival = 0;
    const nextArrival = (): number => (lastArrival += 1);
    const parts: PlatformState = {
        hosts: new LaggingValue<readonly ListedHost[]>([], settings.hostListLagMs, clock),
        orders: new OrderLog({
            checksFencing: settings.checksFencing,
            clock,
            takeArrivalNumber: nextArrival,
        }),
        usageReports: new UsageReportLog(clock, nextArrival),
        weightReadLimit: new TokenBucket(settings.weightReadsPerSecond, clock),
        weights: [],
        readRecord: () => ({
            orders: parts.orders.listReceived(),
            usageReports: parts.usageReports.listReceived(),
            callCounts: standIn.counter.readCounts(),
        }),
    };
    registerTableRoutes(standIn.server, { table, readLimit: reads, writeLimit: writes });
    registerObjectRoutes(standIn.server, { objects: new Map(), readLimit: reads, writeLimit: writes });
    registerServiceRoutes(standIn.server, parts);
    registerControlRoutes(standIn.server, parts);
    const running = await startListening(standIn, settings);
    return {
        ...running,
        table,
        setHosts: (hosts) => parts.hosts.setValue(hosts),
        setWeights: (weights) => {
            parts.weights = weights;
        },
        readRecord: parts.readRecord,
    };
}

function registerServiceRoutes(server: FastifyInstance, parts: PlatformState): void {
    const hostsConfig = { target: { service: "hosts", call: "list" } };
    const orderConfig = { target: { service: "ordering", call: "order" } };
    const reportConfig = { target: { service: "usageReports", call: "report" } };
    const weightsConfig = {
        target: { service: "weights", call: "list" },
        takeWaitMs: (): number => parts.weightReadLimit.takeToken(),
    };
    server.get("/hosts", { config: hostsConfig }, async () => ({ hosts: parts.hosts.readValue().value }));
    server.post("/orders", { config: orderConfig }, async (request) => {
        const order = serverOrderSchema.parse(request.body);
        return parts.orders.handleOrder(order, findOrderRefusal(request.faults));
    });
    server.post("/usage-reports", { config: reportConfig }, async (request) => {
        parts.usageReports.handleReport(usageReportSchema.parse(request.body));
        return { accepted: true };
    });
    server.get("/weights", { config: weightsConfig }, async () => ({ weights: parts.weights }));
}

function registerControlRoutes(server: FastifyInstance, parts: PlatformState): void {
    server.put("/hosts", async (request) => {
        parts.hosts.setValue(hostListAnswerSchema.parse(request.body).hosts);
        return { accepted: true };
    });
    server.put("/weights", async (request) => {
        parts.weights = weightListAnswerSchema.parse(request.body).weights;
        return { accepted: true };
    });
    server.get("/record", async () => parts.readRecord());
}

function findOrderRefusal(faults: readonly Fault[]): OrderResult | undefined {
    const fault = findFault(faults, "noneAvailable");
    return fault && { outcome: "noneAvailable", retryAfterMs: fault.retryAfterMs };
}
