/**
 * Client of the operator interface of a node.
 *
 * @packageDocumentation
 */
import { Code, ConnectError, createClient, type Client } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { OperatorService } from "@pimentocleat/schema";
import { CommandError, ExitCode } from "../output/exitCodes.js";

/** Timeout of a call, in milliseconds. */
const callTimeoutMs = 20_000;

/** A client of the operator interface. */
export type OperatorClient = Client<typeof OperatorService>;

/** The node to call and the credential to use. */
export interface OperatorTarget {
    /** IP address and port of the operator interface. */
    readonly address: string;
    readonly credential: string;
}

/**
 * Creates a client of the operator interface.
 *
 * @param target - The node and the credential.
 * @returns The client. Run its calls through {@link runCall}, which converts their errors to a {@link CommandError}.
 */
export function createOperatorClient(target: OperatorTarget): OperatorClient {
    const transport = createConnectTransport({
        baseUrl: `http://${target.address}`,
        httpVersion: "1.1",
        defaultTimeoutMs: callTimeoutMs,
        interceptors: [
            (next) => (request) => {
                request.header.set("authorization", `Bearer ${target.credential}`);
                return next(request);
            },
        ],
    });
    return createClient(OperatorService, transport);
}

/**
 * Runs calls and converts their errors to errors of the command.
 *
 * @param address - Address of the node, for the error message.
 * @param call - Makes the calls.
 * @returns The result of the calls.
 * @throws {@link CommandError} with the exit code of the failure.
 */
export async function runCall<Result>(address: string, call: () => Promise<Result>): Promise<Result> {
    try {
        return await call();
    } catch (error) {
        if (error instanceof CommandError || !(error instanceof ConnectError)) {
            throw error;
        }
        throw convertConnectError(address, error);
    }
}

function convertConnectError(address: string, error: ConnectError): CommandError {
    switch (error.code) {
        case Code.Unauthenticated:
            return new CommandError(
                ExitCode.Unauthorized,
                `the node ${address} refused the operator credential; check --operator-credential-file or PIMENTOCLEAT_OPERATOR_CREDENTIAL`,
            );
        case Code.InvalidArgument:
            return new CommandError(ExitCode.WrongUsage, error.rawMessage);
        case Code.DeadlineExceeded:
            return new CommandError(
                ExitCode.OutcomeUnknown,
                `the node ${address} did not respond before the timeout; check whether the command took effect`,
            );
        case Code.Unavailable:
            return new CommandError(
                ExitCode.Unreachable,
                `the node ${address} or the table service behind it cannot be reached: ${error.rawMessage}`,
            );
        default:
            return new CommandError(ExitCode.Failure, `the node ${address} failed: ${error.message}`);
    }
}
