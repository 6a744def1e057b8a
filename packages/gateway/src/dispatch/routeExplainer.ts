/**
 * Explains where a request would be sent now, and why, without sending it. Reads what the node knows and changes
 * nothing.
 *
 * @packageDocumentation
 */
import { ErrorKind, RouterError } from "@pimentocleat/types";
import type { PlacementRequest, PromptPart, ServerCostInputs, StartEstimate } from "@pimentocleat/policy";
import { z } from "zod";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { CustomerRule, RouteRule } from "../configuration/gatewayConfiguration.js";
import { computePriority } from "./gatewayRequest.js";
import { ServerSelection, type ServerExclusion, type ServerSelectionOptions } from "./serverSelection.js";
import { convertToPlacementServer, type ServiceDispatchRegistry } from "./serviceDispatch.js";

/** Maximum length of a path, and of the list of prompt parts. */
const maximumTextLength = 4_000;
/** Maximum number of servers that an explanation lists, the cheapest first. */
const maximumListedServers = 200;

/** Parses prompt parts, given as `ID:TOKENS` separated by commas. */
const partsSchema = z
    .string()
    .max(maximumTextLength)
    .regex(/^([^:,]+:\d+)(,[^:,]+:\d+)*$/, "must be a list such as 5c1e:800,91bd:410")
    .transform((text): readonly PromptPart[] =>
        text.split(",").map((entry) => {
            const [id = "", tokens = "0"] = entry.split(":");
            return { id, tokens: Number(tokens) };
        }),
    );

/** Schema of the question: the properties of a request on which the choice of its server depends. */
export const routeQuerySchema = z.object({
    host: z.string().min(1).max(maximumTextLength),
    path: z.string().max(maximumTextLength).startsWith("/"),
    /** Name of the customer; its key is not needed. */
    customer: z.string().max(maximumTextLength).optional(),
    parts: partsSchema.optional(),
    /** Prompt tokens; absent means those of the parts. */
    tokens: z.coerce.number().int().nonnegative().optional(),
});

/** The properties of the request in question. */
export type RouteQuery = z.infer<typeof routeQuerySchema>;

/** A backend server as the node sees it for the request. */
export interface ExplainedServer {
    readonly server: string;
    readonly dataCentre: string;
    /** Why the server does not get the request; undefined when it may. */
    readonly exclusion: ServerExclusion | undefined;
    /** What the choice compares; undefined when the server is not known to the placement yet. */
    readonly inputs: ServerCostInputs | undefined;
}

/** A service to which the route may send the request. */
export interface ExplainedService {
    readonly service: string;
    /** Share of the route's requests, 0 to 1. */
    readonly share: number;
    /** The server that would get the request now, and what the request would meet there; undefined when none takes it. */
    readonly start: StartEstimate | undefined;
    /** Time after which a refused caller would be asked to come back, in milliseconds. */
    readonly returnMs: number | undefined;
    /** The servers, the cheapest first. */
    readonly servers: readonly ExplainedServer[];
    /** Number of servers beyond those that are listed. */
    readonly unlistedServers: number;
}

/** Where a request would go now. */
export interface RouteExplanation {
    readonly node: string;
    readonly configurationVersion: number;
    readonly route: string;
    /** The lowest number is the most urgent. */
    readonly priority: number;
    readonly services: readonly ExplainedService[];
}

/** Options of a {@link RouteExplainer}: what the choice of a server uses. */
export interface RouteExplainerOptions extends ServerSelectionOptions {
    /** Name of this node. */
    readonly name: string;
    readonly dispatches: ServiceDispatchRegistry;
}

/** Explains the choice of a server. */
export class RouteExplainer {
    private readonly selection: ServerSelection;

    /** @param options - What the node knows. */
    constructor(private readonly options: RouteExplainerOptions) {
        this.selection = new ServerSelection(options);
    }

    /**
     * Explains where a request would be sent now.
     *
     * @param query - The properties of the request.
     * @returns The explanation.
     * @throws RouterError when the node has no configuration, or the request has no route or an unknown customer.
     */
    buildExplanation(query: RouteQuery): RouteExplanation {
        const { name, configuration } = this.options;
        const current = configuration.readCurrent();
        if (current === undefined) {
            throw new RouterError(ErrorKind.NotReady);
        }
        const route = configuration.findRoute(query.host.toLowerCase(), query.path);
        if (route === undefined) {
            throw new RouterError(ErrorKind.UnknownRoute);
        }
        const customer = current.customers?.find((rule) => rule.name === query.customer);
        if (query.customer !== undefined && customer === undefined) {
            throw new RouterError(ErrorKind.InvalidKey, `no customer is named "${query.customer}"`);
        }
        const priority = computePriority({ customer, route });
        const weights = route.targets.reduce((sum, { weight }) => sum + weight, 0);
        return {
            node: name,
            configurationVersion: current.version,
            route: route.name,
            priority,
            services: route.targets.map(({ service, weight }) =>
                this.buildServiceExplanation(service, weights > 0 ? weight / weights : 1, query, {
                    route,
                    customer,
                }),
            ),
        };
    }

    private buildServiceExplanation(
        service: string,
        share: number,
        { parts = [], tokens }: RouteQuery,
        rules: { readonly route: RouteRule; readonly customer: CustomerRule | undefined },
    ): ExplainedService {
        const { configuration, directory, dispatches } = this.options;
        const request: PlacementRequest = {
            parts,
            promptTokens: tokens ?? parts.reduce((sum, part) => sum + part.tokens, 0),
            pauseTargetMs: rules.route.pauseTargetMs,
            excluded: new Set(),
        };
        const priority = computePriority(rules);
        const { placement } = dispatches.ensureService(service);
        const capacityTokens = configuration.findService(service)?.engine?.capacityTokens;
        const registered = directory.listServers(service);
        const exclusions = new Map(
            registered.map((server) => [server.id, this.selection.findExclusion(server, priority)]),
        );
        const open = registered.filter(({ id }) => exclusions.get(id) === undefined);
        const convert = (server: RegisteredServer): ReturnType<typeof convertToPlacementServer> =>
            convertToPlacementServer(server, capacityTokens);
        const inputs = placement.listCostInputs(request, registered.map(convert));
        const servers = registered
            .map(({ id, dataCentre }) => ({
                server: id,
                dataCentre,
                exclusion: exclusions.get(id),
                inputs: inputs.get(id),
            }))
            .sort(compareServers);
        const returnsMs = [...exclusions.values()].flatMap((exclusion) => exclusion?.returnMs ?? []);
        return {
            service,
            share,
            start: placement.estimateStart(request, open.map(convert)),
            returnMs: open.length > 0 || returnsMs.length === 0 ? undefined : Math.min(...returnsMs),
            servers: servers.slice(0, maximumListedServers),
            unlistedServers: Math.max(0, servers.length - maximumListedServers),
        };
    }
}

function compareServers(left: ExplainedServer, right: ExplainedServer): number {
    const excluded = Number(left.exclusion !== undefined) - Number(right.exclusion !== undefined);
    const infinite = Number.POSITIVE_INFINITY;
    return excluded !== 0 ? excluded : (left.inputs?.costMs ?? infinite) - (right.inputs?.costMs ?? infinite);
}
