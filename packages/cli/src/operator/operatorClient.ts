/**
 * Calls to the operator interface of a node.
 *
 * @packageDocumentation
 */
import { Code, ConnectError, createClient, type Client } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { OperatorService } from "@pimentocleat/schema";
import { CommandError, ExitCode } from "../output/exitCodes.js";

const callTimeoutMs = 20_000;

/** Calls of the operator interface. */
export type OperatorClient = Client<typeof OperatorService>;

/** Which node to call, and with what credential. */
export interface OperatorTarget {
    /** IP address and port of the operator interface. */
    readonly address: string;
    readonly credential: string;
}

/**
 * Creates a client.
 *
 * @param target - The node and the credential.
 * @returns The client; its calls throw a {@link CommandError} through {@link runCall}.
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
 * Runs calls and turns their failures into failures of the command.
 *
 * @param address - The node, for the message.
 * @param call - Starts the calls.
 * @returns The result.
 * @throws {@link CommandError} with the exit code that fits the failure.
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
                `the node ${address} refuses the operator credential; check --operator-credential-file`,
            );
        case Code.InvalidArgument:
            return new CommandError(ExitCode.WrongUsage, error.rawMessage);
        case Code.DeadlineExceeded:
            return new CommandError(ExitCode.OutcomeUnknown, `the node ${address} did not answer in time`);
        case Code.Unavailable:
            return new CommandError(
                ExitCode.Unreachable,
                `the node ${address} or the table service behind it cannot be reached: ${error.rawMessage}`,
            );
        default:
            return new CommandError(ExitCode.Failure, `the node ${address} failed: ${error.message}`);
    }
}
