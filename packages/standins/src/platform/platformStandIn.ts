/**
 * The platform stand-in, which serves all platform services from one HTTP server.
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

/** Everything that the platform stand-in received. */
export interface PlatformRecord {
    readonly orders: readonly ReceivedOrder[];
    readonly usageReports: readonly ReceivedUsageReport[];
    readonly callCounts: CallCounts;
}

/** A platform stand-in running in this process. */
export interface RunningPlatform extends RunningStandIn {
    /** Table service, which tests read directly. */
    readonly table: MemoryTableService;
    /**
     * Replaces the host list; calls see it after `hostListLagMs`.
     *
     * @param hosts - The new host list.
     */
    setHosts(hosts: readonly ListedHost[]): void;
    /**
     * Replaces the list of weights that engines can load.
     *
     * @param weights - The new list.
     */
    setWeights(weights: readonly WeightEntry[]): void;
    /** @returns Everything that the platform received so far. */
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
 * @param clock - Clock for arrival times, rate limits and the lag of the host list.
 * @returns The running stand-in.
 */
export async function startPlatform(
    options: PlatformOptions = {},
    clock: Clock = new SystemClock(),
): Promise<RunningPlatform> {
    const settings = platformOptionsSchema.parse(options);
    const standIn = buildStandInServer();
    const table = new MemoryTableService();
    const readLimit = new TokenBucket(settings.readsPerSecond, clock);
    const writeLimit = new TokenBucket(settings.writesPerSecond, clock);
    let lastArrivalNumber = 0;
    const takeArrivalNumber = (): number => (lastArrivalNumber += 1);
    const state: PlatformState = {
        hosts: new LaggingValue<readonly ListedHost[]>([], settings.hostListLagMs, clock),
        orders: new OrderLog({ checksFencing: settings.checksFencing, clock, takeArrivalNumber }),
        usageReports: new UsageReportLog(clock, takeArrivalNumber),
        weightReadLimit: new TokenBucket(settings.weightReadsPerSecond, clock),
        weights: [],
        readRecord: () => ({
            orders: state.orders.listReceived(),
            usageReports: state.usageReports.listReceived(),
            callCounts: standIn.counter.readCounts(),
        }),
    };
    registerTableRoutes(standIn.server, { table, readLimit, writeLimit });
    registerObjectRoutes(standIn.server, { objects: new Map(), readLimit, writeLimit });
    registerServiceRoutes(standIn.server, state);
    registerControlRoutes(standIn.server, state);
    const running = await startListening(standIn, settings);
    return {
        ...running,
        table,
        setHosts: (hosts) => state.hosts.setValue(hosts),
        setWeights: (weights) => {
            state.weights = weights;
        },
        readRecord: state.readRecord,
    };
}

function registerServiceRoutes(server: FastifyInstance, state: PlatformState): void {
    const hostsConfig = { target: { service: "hosts", call: "list" } };
    const orderConfig = { target: { service: "ordering", call: "order" } };
    const reportConfig = { target: { service: "usageReports", call: "report" } };
    const weightsConfig = {
        target: { service: "weights", call: "list" },
        takeToken: (): number => state.weightReadLimit.takeToken(),
    };
    server.get("/hosts", { config: hostsConfig }, async () => ({ hosts: state.hosts.readValue().value }));
    server.post("/orders", { config: orderConfig }, async (request) => {
        const order = serverOrderSchema.parse(request.body);
        return state.orders.handleOrder(order, findOrderRefusal(request.faults));
    });
    server.post("/usage-reports", { config: reportConfig }, async (request) => {
        state.usageReports.handleReport(usageReportSchema.parse(request.body));
        return { accepted: true };
    });
    server.get("/weights", { config: weightsConfig }, async () => ({ weights: state.weights }));
}

function registerControlRoutes(server: FastifyInstance, state: PlatformState): void {
    server.put("/hosts", async (request) => {
        state.hosts.setValue(hostListAnswerSchema.parse(request.body).hosts);
        return { accepted: true };
    });
    server.put("/weights", async (request) => {
        state.weights = weightListAnswerSchema.parse(request.body).weights;
        return { accepted: true };
    });
    server.get("/record", async () => state.readRecord());
}

function findOrderRefusal(faults: readonly Fault[]): OrderResult | undefined {
    const fault = findFault(faults, "noneAvailable");
    return fault && { outcome: "noneAvailable", retryAfterMs: fault.retryAfterMs };
}
