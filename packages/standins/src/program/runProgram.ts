/**
 * Runs a stand-in as a program.
 *
 * @packageDocumentation
 */
import type { z } from "zod";
import { readProgramOptions } from "./programOptions.js";
import type { RunningStandIn } from "./standInServer.js";

const invalidSettingExitCode = 2;

/** Definition of a stand-in program. */
export interface StandInProgram<Shape extends z.ZodRawShape> {
    readonly name: string;
    /** Schema of the settings. */
    readonly schema: z.ZodObject<Shape>;
    readonly start: (options: z.infer<z.ZodObject<Shape>>) => Promise<RunningStandIn>;
}

/**
 * Starts a stand-in, prints `listening ADDRESS:PORT` and stops it on SIGTERM or SIGINT.
 *
 * @param program - Definition of the program.
 */
export async function runStandInProgram<Shape extends z.ZodRawShape>(
    program: StandInProgram<Shape>,
): Promise<void> {
    const options = readOptionsOrExit(program);
    if (options === undefined) {
        return;
    }
    const standIn = await program.start(options);
    const stop = (): void => {
        void standIn.close().then(() => process.exit(0));
    };
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    process.stdout.write(`listening ${standIn.address}\n`);
}

function readOptionsOrExit<Shape extends z.ZodRawShape>(
    program: StandInProgram<Shape>,
): z.infer<z.ZodObject<Shape>> | undefined {
    try {
        const input = { parameters: process.argv.slice(2), environment: process.env };
        return readProgramOptions(program.name, program.schema, input);
    } catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        process.stderr.write(`${program.name}: invalid setting: ${reason}\n`);
        process.exit(invalidSettingExitCode);
    }
}
