/**
 * The platform stand-in as a program.
 *
 * @packageDocumentation
 */
import { runStandInProgram } from "../program/runProgram.js";
import { platformOptionsSchema } from "./platformOptions.js";
import { startPlatform } from "./platformStandIn.js";

/** Runs the platform stand-in until it is told to stop. */
export async function runPlatformProgram(): Promise<void> {
    await runStandInProgram({
        name: "platform",
        schema: platformOptionsSchema,
        start: (options) => startPlatform(options),
    });
}
