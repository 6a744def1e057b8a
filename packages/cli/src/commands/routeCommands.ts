/**
 * `pimentocleat route explain`.
 *
 * @packageDocumentation
 */
import type { ExplainedServer, ExplainedService, RouteExplanation } from "@pimentocleat/gateway";
import { request } from "undici";
import { CommandError, ExitCode } from "../output/exitCodes.js";
import { formatTable } from "../output/output.js";
import { readTextFlag, type CommandContext } from "./commandContext.js";

const defaultStatusAddress = "127.0.0.1:8080";
/** Time to wait for a node, in milliseconds; a node answers from memory. */
const responseTimeoutMs = 5_000;
const successStatus = 200;

/**
 * Asks nodes where a request would go now, without sending it.
 *
 * @param context - The command.
 * @param url - Host and path of the request, for example `http://drafts.example/leaflet/`.
 * @returns The exit code.
 * @throws {@link CommandError} when the address is not valid or a node cannot be reached.
 */
export async function printRouteExplanation(context: CommandContext, url: string): Promise<ExitCode> {
    const query = buildQuery(context, url);
    const addresses = (readTextFlag(context, "statusAddress") ?? defaultStatusAddress).split(",");
    const explanations = await Promise.all(addresses.map((address) => readExplanation(address, query)));
    context.output.printResult({ explanations }, explanations.flatMap(formatExplanation));
    return ExitCode.Success;
}

function buildQuery(context: CommandContext, url: string): Record<string, string> {
    if (!URL.canParse(url)) {
        throw new CommandError(
            ExitCode.WrongUsage,
            `"${url}" is not an address; use one such as http://drafts.example/leaflet/`,
        );
    }
    const { hostname, pathname, search } = new URL(url);
    const query: Record<string, string> = { host: hostname, path: `${pathname}${search}` };
    for (const name of ["customer", "parts", "tokens"]) {
        const value = readTextFlag(context, name);
        if (value !== undefined) {
            query[name] = value;
        }
    }
    return query;
}

async function readExplanation(address: string, query: Record<string, string>): Promise<RouteExplanation> {
    const target = `http://${address}/explain?${new URLSearchParams(query).toString()}`;
    const timeouts = { headersTimeout: responseTimeoutMs, bodyTimeout: responseTimeoutMs };
    const response = await request(target, timeouts).catch((error: unknown) => {
        const message = `the node ${address} cannot be reached: ${String(error)}; check --status-address`;
        throw new CommandError(ExitCode.Unreachable, message);
    });
    const text = await response.body.text();
    if (response.statusCode !== successStatus) {
        throw new CommandError(ExitCode.WrongUsage, `the node ${address} refused the question: ${text}`);
    }
    return JSON.parse(text) as RouteExplanation;
}

function formatExplanation({ node, route, priority, services }: RouteExplanation): readonly string[] {
    return [
        `${node}: route ${route}, priority ${String(priority)}`,
        ...services.flatMap((service) => [
            formatDecision(service),
            ...formatTable({
                columns: [
                    "SERVER",
                    "DATA CENTRE",
                    "COST MS",
                    "IN FLIGHT",
                    "LOAD",
                    "AGE MS",
                    "CACHED",
                    "PACE",
                    "EXCLUDED",
                ],
                rows: service.servers.map(formatServer),
            }),
        ]),
    ];
}

function formatDecision({ service, share, start, returnMs }: ExplainedService): string {
    const percent = `${String(Math.round(share * 100))}%`;
    const returnText = returnMs === undefined ? "" : `, to come back in ${String(Math.round(returnMs))} ms`;
    const decision =
        start === undefined
            ? `refused${returnText}`
            : `${start.hasRoom ? "sent to" : "waits for room at"} ${start.serverId}, start in ${formatNumber(start.startMs)} ms`;
    return `${service} (${percent} of the requests): ${decision}`;
}

function formatServer({ server, dataCentre, exclusion, inputs }: ExplainedServer): readonly string[] {
    const load = inputs?.load;
    return [
        server,
        dataCentre,
        formatNumber(inputs?.costMs),
        formatNumber(inputs?.inFlight),
        load === undefined ? "-" : `${String(load.running)}+${String(load.waiting)}`,
        formatNumber(inputs?.loadAgeMs),
        formatNumber(inputs?.cachedTokens),
        inputs === undefined ? "-" : inputs.pace.toFixed(2),
        exclusion?.reason ?? (inputs?.isAvoided === true ? "avoided" : "-"),
    ];
}

function formatNumber(value: number | undefined): string {
    return value === undefined ? "-" : String(Math.round(value));
}
