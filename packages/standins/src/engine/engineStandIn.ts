/**
 * Starts the model engine stand-in, in this process or as a program.
 *
 * @packageDocumentation
 */
import { SystemClock, type Clock } from "@pimentocleat/types";
import { RequestRecorder, type RecordedRequest } from "../program/requestRecorder.js";
import { runStandInProgram } from "../program/runProgram.js";
import { buildStandInServer, startListening, type RunningStandIn } from "../program/standInServer.js";
import { Engine } from "./engine.js";
import { engineOptionsSchema, type EngineOptions } from "./engineOptions.js";
import type { ReceivedEngineOrder } from "./engineOrders.js";
import { registerEngineRoutes } from "./engineRoutes.js";

/** An engine stand-in that runs in this process. */
export interface RunningEngine extends RunningStandIn {
    /** @returns The requests that the engine received so far. */
    readRecord(): readonly RecordedRequest[];
    /** @returns The orders that the engine received so far. */
    readOrders(): readonly ReceivedEngineOrder[];
}

/**
 * Starts an engine stand-in in this process.
 *
 * @param options - Settings; absent ones have their defaults.
 * @param clock - Source of time.
 * @returns The running stand-in.
 */
export async function startEngine(
    options: EngineOptions = {},
    clock: Clock = new SystemClock(),
): Promise<RunningEngine> {
    const settings = engineOptionsSchema.parse(options);
    const recorder = new RequestRecorder(settings.recordLimit, clock);
    const standIn = buildStandInServer({ recorder, credential: settings.credential });
    const engine = new Engine(settings, standIn.switches, clock);
    registerEngineRoutes(standIn.server, engine);
    const running = await startListening(standIn, settings);
    return {
        ...running,
        close: async () => {
            engine.scheduler.close();
            await running.close();
        },
        readRecord: () => recorder.listRequests(),
        readOrders: () => engine.orders.listReceived(),
    };
}

/** Runs the engine stand-in as a program until it receives SIGTERM or SIGINT. */
export async function runEngineProgram(): Promise<void> {
    await runStandInProgram({
        name: "engine",
        schema: engineOptionsSchema,
        start: (options) => startEngine(options),
    });
}
