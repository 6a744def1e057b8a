/**
 * What every command of `pimentocleat` gets.
 *
 * @packageDocumentation
 */
import { readFileSync } from "node:fs";
import type { WaitingClock } from "@pimentocleat/types";
import {
    createOperatorClient,
    type OperatorClient,
    type OperatorTarget,
} from "../operator/operatorClient.js";
import { CommandError, ExitCode } from "../output/exitCodes.js";
import type { Output } from "../output/output.js";

const defaultOperatorAddress = "127.0.0.1:8081";

/** Flags as cac gives them. */
export type CommandFlags = Readonly<Record<string, unknown>>;

/** The surroundings of a command. */
export interface CommandContext {
    readonly flags: CommandFlags;
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly output: Output;
    readonly clock: WaitingClock;
    /** Ends commands that run until told to stop. */
    readonly signal: AbortSignal;
}

/**
 * Reads a flag that takes a text.
 *
 * @param context - The command.
 * @param name - Name of the flag in camelCase.
 * @returns The text, or undefined when the flag is not given.
 */
export function readTextFlag(context: CommandContext, name: string): string | undefined {
    const value = context.flags[name];
    return value === undefined || typeof value === "boolean" ? undefined : String(value);
}

/**
 * Reads whom to call.
 *
 * @param context - The command.
 * @returns Address and credential, from flags or the environment.
 */
export function readTarget(context: CommandContext): OperatorTarget {
    const { environment } = context;
    const address =
        readTextFlag(context, "operatorAddress") ??
        environment["PIMENTOCLEAT_OPERATOR_ADDRESS"] ??
        defaultOperatorAddress;
    const path =
        readTextFlag(context, "operatorCredentialFile") ??
        environment["PIMENTOCLEAT_OPERATOR_CREDENTIAL_FILE"];
    const credential =
        path === undefined ? environment["PIMENTOCLEAT_OPERATOR_CREDENTIAL"] : readSecret(path);
    if (credential === undefined) {
        throw new CommandError(
            ExitCode.WrongUsage,
            "no operator credential; use --operator-credential-file or PIMENTOCLEAT_OPERATOR_CREDENTIAL",
        );
    }
    return { address, credential };
}

/**
 * Opens a client to the node that the flags name.
 *
 * @param context - The command.
 * @returns The client and the target.
 */
export function openClient(context: CommandContext): { client: OperatorClient; target: OperatorTarget } {
    const target = readTarget(context);
    return { client: createOperatorClient(target), target };
}

/**
 * Reads who is named as the author of a change.
 *
 * @param context - The command.
 * @returns The author.
 */
export function readAuthor(context: CommandContext): string {
    return readTextFlag(context, "author") ?? context.environment["USER"] ?? "operator";
}

function readSecret(path: string): string {
    try {
        return readFileSync(path, "utf8").trim();
    } catch {
        throw new CommandError(ExitCode.WrongUsage, `the credential file "${path}" cannot be read`);
    }
}
