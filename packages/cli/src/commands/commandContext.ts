/**
 * The context that every `pimentocleat` command runs in: flags, environment, output, clock and signal.
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

/** Flags as parsed by cac, by their names in camelCase. */
export type CommandFlags = Readonly<Record<string, unknown>>;

/** The context of a command. */
export interface CommandContext {
    readonly flags: CommandFlags;
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly output: Output;
    readonly clock: WaitingClock;
    /** Ends commands that run until they are interrupted, such as `config watch`. */
    readonly signal: AbortSignal;
}

/**
 * Reads a flag that takes a text value.
 *
 * @param context - The command.
 * @param name - Name of the flag in camelCase.
 * @returns The text, or undefined when the flag is absent or has no value.
 */
export function readTextFlag(context: CommandContext, name: string): string | undefined {
    const value = context.flags[name];
    return value === undefined || typeof value === "boolean" ? undefined : String(value);
}

/**
 * Reads which node to call and with which credential.
 *
 * @param context - The command.
 * @returns The address and the credential, from the flags or else from the environment.
 * @throws {@link CommandError} when no credential is set or its file cannot be read.
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
        path === undefined ? environment["PIMENTOCLEAT_OPERATOR_CREDENTIAL"] : readCredentialFile(path);
    if (credential === undefined) {
        throw new CommandError(
            ExitCode.WrongUsage,
            "the operator credential is missing; set --operator-credential-file or PIMENTOCLEAT_OPERATOR_CREDENTIAL",
        );
    }
    return { address, credential };
}

/**
 * Creates a client for the node that the flags or the environment select.
 *
 * @param context - The command.
 * @returns The client and its target.
 * @throws {@link CommandError} when no credential is set or its file cannot be read.
 */
export function openClient(context: CommandContext): { client: OperatorClient; target: OperatorTarget } {
    const target = readTarget(context);
    return { client: createOperatorClient(target), target };
}

/**
 * Reads the author that is recorded with a change.
 *
 * @param context - The command.
 * @returns The value of `--author`, else of the environment variable USER, else `operator`.
 */
export function readAuthor(context: CommandContext): string {
    return readTextFlag(context, "author") ?? context.environment["USER"] ?? "operator";
}

function readCredentialFile(path: string): string {
    try {
        return readFileSync(path, "utf8").trim();
    } catch {
        throw new CommandError(
            ExitCode.WrongUsage,
            `the credential file "${path}" cannot be read; name a readable file`,
        );
    }
}
