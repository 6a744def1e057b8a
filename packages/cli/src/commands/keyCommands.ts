/**
 * `pimentocleat key create|list|withdraw`.
 *
 * @packageDocumentation
 */
import { ApplyOutcome, WithdrawOutcome } from "@pimentocleat/schema";
import { runCall } from "../operator/operatorClient.js";
import { CommandError, ExitCode } from "../output/exitCodes.js";
import { formatTable } from "../output/output.js";
import { checkApplyOutcome } from "./applyFolder.js";
import { openClient, readAuthor, readTextFlag, type CommandContext } from "./commandContext.js";

/**
 * Creates a key and prints its secret, which cannot be shown again.
 *
 * @param context - The command.
 * @param keyId - Identifier of the new key.
 * @returns The exit code.
 */
export async function createKey(context: CommandContext, keyId: string): Promise<ExitCode> {
    const customer = readTextFlag(context, "customer");
    if (customer === undefined) {
        throw new CommandError(
            ExitCode.WrongUsage,
            "--customer is missing; name the customer that the key belongs to",
        );
    }
    const defaultClass = readTextFlag(context, "class");
    const { client, target } = openClient(context);
    const answer = await runCall(target.address, () =>
        client.createKey({
            author: readAuthor(context),
            keyId,
            customer,
            ...(defaultClass === undefined ? {} : { defaultClass }),
        }),
    );
    if (answer.result?.outcome === ApplyOutcome.CONFLICT) {
        throw new CommandError(ExitCode.Conflict, `the key ${keyId} already exists; use another identifier`);
    }
    if (answer.result !== undefined) {
        checkApplyOutcome(answer.result);
    }
    const { secret } = answer;
    context.output.printNote("the secret is shown only once; store it now");
    context.output.printResult({ keyId, customer, secret, revision: answer.result?.revision }, [secret]);
    return ExitCode.Success;
}

/**
 * Prints the keys with their customers, default classes and states.
 *
 * @param context - The command.
 * @returns The exit code.
 */
export async function listKeys(context: CommandContext): Promise<ExitCode> {
    const { client, target } = openClient(context);
    const answer = await runCall(target.address, () => client.listKeys({}));
    const keys = answer.keys.map(({ keyId, customer, defaultClass, withdrawn }) => ({
        keyId,
        customer,
        defaultClass,
        withdrawn,
    }));
    const rows = keys.map((key) => [
        key.keyId,
        key.customer,
        key.defaultClass,
        key.withdrawn ? "withdrawn" : "valid",
    ]);
    const columns = ["KEY", "CUSTOMER", "DEFAULT CLASS", "STATE"];
    context.output.printResult({ keys }, formatTable({ columns, rows }));
    return ExitCode.Success;
}

/**
 * Withdraws a key permanently.
 *
 * @param context - The command.
 * @param keyId - The key.
 * @returns The exit code.
 */
export async function withdrawKey(context: CommandContext, keyId: string): Promise<ExitCode> {
    const { client, target } = openClient(context);
    const answer = await runCall(target.address, () =>
        client.withdrawKey({ author: readAuthor(context), keyId }),
    );
    switch (answer.outcome) {
        case WithdrawOutcome.ACCEPTED: {
            const { recorded, peers } = answer;
            const store = recorded
                ? "recorded in the table service"
                : "not recorded yet because the table service is unavailable";
            context.output.printResult({ keyId, withdrawn: true, recorded, peers }, [
                `withdrawn ${keyId}: active on this node and ${String(peers)} other nodes; ${store}`,
            ]);
            return ExitCode.Success;
        }
        case WithdrawOutcome.ALREADY_WITHDRAWN:
            context.output.printResult({ keyId, withdrawn: true }, [`${keyId} was already withdrawn`]);
            return ExitCode.Success;
        case WithdrawOutcome.UNKNOWN_KEY:
            throw new CommandError(
                ExitCode.NotFound,
                `there is no key ${keyId}; see \`pimentocleat key list\``,
            );
        default:
            throw new CommandError(
                ExitCode.OutcomeUnknown,
                `${keyId} is withdrawn only on the node ${target.address}, which can reach neither the table service nor a peer; run the command on another node`,
            );
    }
}
