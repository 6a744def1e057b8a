/**
 * `pimentocleat node list`, `pool list` and `explain`.
 *
 * @packageDocumentation
 */
import type { NodeStatus } from "@pimentocleat/node";
import type { ExplainRequestResponse } from "@pimentocleat/schema";
import { createOperatorClient, runCall } from "../operator/operatorClient.js";
import { CommandError, ExitCode } from "../output/exitCodes.js";
import { formatTable, type Table } from "../output/output.js";
import { openClient, type CommandContext } from "./commandContext.js";

/**
 * Reads the nodes that the called node knows.
 *
 * @param context - The command.
 * @returns The nodes, sorted by name.
 */
export async function readNodes(context: CommandContext): Promise<readonly NodeStatus[]> {
    const { client, target } = openClient(context);
    const { nodes } = await runCall(target.address, () => client.listNodes({}));
    return nodes.map(({ name, dataCentre, state, revision, callerAddress, operatorAddress }) => ({
        name,
        dataCentre,
        state,
        revision: Number(revision),
        callerAddress,
        operatorAddress,
    }));
}

/**
 * Formats nodes as a table.
 *
 * @param nodes - The nodes.
 * @returns The table.
 */
export function formatNodes(nodes: readonly NodeStatus[]): Table {
    return {
        columns: ["NODE", "DATA CENTRE", "STATE", "REVISION", "CALLERS", "OPERATORS"],
        rows: nodes.map((node) => [
            node.name,
            node.dataCentre,
            node.state,
            String(node.revision),
            node.callerAddress,
            node.operatorAddress,
        ]),
    };
}

/**
 * Prints the nodes.
 *
 * @param context - The command.
 * @returns The exit code.
 */
export async function listNodes(context: CommandContext): Promise<ExitCode> {
    const nodes = await readNodes(context);
    context.output.printResult({ nodes }, formatTable(formatNodes(nodes)));
    return ExitCode.Success;
}

/**
 * Prints the pools with their backend servers.
 *
 * @param context - The command.
 * @returns The exit code.
 */
export async function listPools(context: CommandContext): Promise<ExitCode> {
    const { client, target } = openClient(context);
    const { pools } = await runCall(target.address, () => client.listPools({}));
    const poolResults = pools.map(({ name, kind, waiting, running, servers }) => ({
        name,
        kind,
        waiting,
        running,
        servers: servers.map(({ name, address, dataCentre, state, running, slots }) => ({
            name,
            address,
            dataCentre,
            state,
            running,
            slots,
        })),
    }));
    const rows = poolResults.flatMap((pool) =>
        pool.servers.map((server) => [
            pool.name,
            pool.kind,
            server.name,
            server.dataCentre,
            server.state,
            `${String(server.running)}/${String(server.slots)}`,
            String(pool.waiting),
        ]),
    );
    const columns = ["POOL", "KIND", "SERVER", "DATA CENTRE", "STATE", "RUNNING", "WAITING"];
    context.output.printResult({ pools: poolResults }, formatTable({ columns, rows }));
    return ExitCode.Success;
}

/**
 * Prints the trace of a request. All known nodes are asked, since only the node that served the request has it.
 *
 * @param context - The command.
 * @param requestId - The identifier from the response's `x-request-id` header.
 * @returns The exit code.
 */
export async function printRequestTrace(context: CommandContext, requestId: string): Promise<ExitCode> {
    const trace = await findTrace(context, requestId);
    if (trace === undefined) {
        throw new CommandError(
            ExitCode.NotFound,
            `no reachable node has a trace of the request ${requestId}; nodes keep traces of the latest requests only`,
        );
    }
    const { node, answer } = trace;
    const steps = answer.steps.map(({ afterMs, step, detail }) => ({ afterMs, step, detail }));
    const { customer, requestClass, pool, arrivedWallMs } = answer;
    const arrivedAt = new Date(Number(arrivedWallMs)).toISOString();
    context.output.printResult({ requestId, node, customer, requestClass, pool, arrivedAt, steps }, [
        `request ${requestId} on ${node}: customer ${customer}, class ${requestClass}, pool ${pool}, arrived ${arrivedAt}`,
        ...formatTable({
            columns: ["AFTER MS", "STEP", "DETAIL"],
            rows: steps.map((step) => [step.afterMs.toFixed(1), step.step, step.detail]),
        }),
    ]);
    return ExitCode.Success;
}

/** Asks all known nodes; those that cannot be reached are ignored. */
async function findTrace(
    context: CommandContext,
    requestId: string,
): Promise<{ node: string; answer: ExplainRequestResponse } | undefined> {
    const { target } = openClient(context);
    const nodes = await readNodes(context);
    const answers = await Promise.allSettled(
        nodes.map(async (node) => {
            const client = createOperatorClient({ ...target, address: node.operatorAddress });
            return { node: node.name, answer: await client.explainRequest({ requestId }) };
        }),
    );
    return answers
        .flatMap((answer) => (answer.status === "fulfilled" ? [answer.value] : []))
        .find(({ answer }) => answer.found);
}
