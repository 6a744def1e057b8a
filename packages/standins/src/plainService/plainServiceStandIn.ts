/**
 * Starts the plain service stand-in. Its calls must not be repeated; it counts how often each was executed.
 *
 * @packageDocumentation
 */
import { SystemClock, type Clock } from "@pimentocleat/types";
import { LaggingValue } from "../program/laggingValue.js";
import { RequestRecorder, type RecordedRequest } from "../program/requestRecorder.js";
import { runStandInProgram } from "../program/runProgram.js";
import { buildStandInServer, startListening, type RunningStandIn } from "../program/standInServer.js";
import { ExecutionCounter, type ExecutionCounts } from "./executionCounts.js";
import { plainServiceOptionsSchema, type PlainServiceOptions } from "./plainServiceOptions.js";
import { PlainServiceRoutes } from "./plainServiceRoutes.js";
import { SlotQueue, type SlotOccupancy } from "./slotQueue.js";

/** A plain service stand-in that runs in this process. */
export interface RunningPlainService extends RunningStandIn {
    /** @returns The requests that the service received so far. */
    readRecord(): readonly RecordedRequest[];
    /** @returns How often each call was executed. */
    readCounts(): ExecutionCounts;
}

/**
 * Starts a plain service stand-in in this process.
 *
 * @param options - Settings; absent ones have their defaults.
 * @param clock - Source of time.
 * @returns The running stand-in.
 */
export async function startPlainService(
    options: PlainServiceOptions = {},
    clock: Clock = new SystemClock(),
): Promise<RunningPlainService> {
    const settings = plainServiceOptionsSchema.parse(options);
    const recorder = new RequestRecorder(settings.recordLimit, clock);
    const standIn = buildStandInServer({ recorder, credential: settings.credential });
    const counter = new ExecutionCounter();
    const load = new LaggingValue<SlotOccupancy>({ running: 0, waiting: 0 }, settings.loadLagMs, clock);
    const queue = new SlotQueue(settings.slots, (occupancy) => load.setValue(occupancy));
    const { slots, serviceMs } = settings;
    const routes = new PlainServiceRoutes({
        counter,
        load,
        queue,
        slots,
        serviceMs,
        switches: standIn.switches,
    });
    routes.register(standIn.server);
    const running = await startListening(standIn, settings);
    return {
        ...running,
        readRecord: () => recorder.listRequests(),
        readCounts: () => counter.readCounts(),
    };
}

/** Runs the plain service stand-in as a program until it receives SIGTERM or SIGINT. */
export async function runPlainServiceProgram(): Promise<void> {
    await runStandInProgram({
        name: "plainService",
        schema: plainServiceOptionsSchema,
        start: (options) => startPlainService(options),
    });
}
