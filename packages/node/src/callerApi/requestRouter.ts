/**
 * Turns a caller's HTTP request into a routed request: route, key, customer, model and class.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Key } from "@pimentocleat/schema";
import type { AppliedConfiguration, ConfigurationSource, KeyRegistry } from "@pimentocleat/state";
import { ErrorKind, RouterError, type Clock } from "@pimentocleat/types";
import type { ModelCall, RoutedRequest } from "../dispatch/routedRequest.js";
import {
    hasContentEncoding,
    hasSecret,
    selectQuery,
    selectRequestHeaders,
} from "../upstream/forwardingFilter.js";
import { listSecrets, readPresentedKey } from "./credentials.js";
import { parseModelCall } from "./modelCallParser.js";
import { RouteTable, type RouteMatch } from "./routeTable.js";

/** Customer name of requests without a key; not a valid configured name. */
const anonymousCustomer = "-";
const unsafePathPattern = /(^|\/)\.{1,2}(\/|$)|\/\/|\\|%2f|%5c|%2e|%00/i;

/** The head of a caller's request. */
export interface RequestHead {
    readonly requestId: string;
    readonly method: string;
    /** Path with query. */
    readonly url: string;
    readonly headers: IncomingHttpHeaders;
}

/** A request whose route and key are known, before its body was read. */
export interface AdmittedRequest {
    readonly head: RequestHead;
    readonly path: string;
    readonly query: string;
    readonly match: RouteMatch;
    readonly key: Key | undefined;
    readonly secrets: readonly string[];
    readonly arrivedMs: number;
    readonly table: RouteTable;
}

interface DispatchTarget {
    readonly pool: string;
    readonly route: string;
    readonly repeatable: boolean;
    readonly modelCall: ModelCall | undefined;
    readonly requestClass: string;
}

/** Options of a {@link RequestRouter}. */
export interface RequestRouterOptions {
    readonly configuration: ConfigurationSource;
    readonly keys: KeyRegistry;
    readonly clock: Clock;
}

/** Routes requests by the configuration in force. */
export class RequestRouter {
    private applied: AppliedConfiguration | undefined;
    private table: RouteTable | undefined;

    /** @param options - Configuration, keys and clock. */
    constructor(private readonly options: RequestRouterOptions) {}

    /**
     * Finds route and customer of a request before its body is read.
     *
     * @param head - Method, path and headers.
     * @returns The admitted request.
     * @throws RouterError when there is no such route or the key is not accepted.
     */
    resolveHead(head: RequestHead): AdmittedRequest {
        const table = this.getRouteTable();
        const separator = head.url.indexOf("?");
        const path = separator < 0 ? head.url : head.url.slice(0, separator);
        const query = separator < 0 ? "" : head.url.slice(separator + 1);
        const match = findSafeRoute(table, path);
        checkMethod(match, head.method);
        checkEncoding(head.headers);
        const open = match.type === "plain" && match.route.open;
        const secret = readPresentedKey(head.headers);
        const key = this.findKey(secret, open);
        checkCustomer(match, key);
        const secrets = listSecrets(head.headers, secret);
        if (hasSecret(path, secrets)) {
            throw new RouterError(
                ErrorKind.InvalidRequest,
                "The path contains a key; send it as a header only.",
            );
        }
        const arrivedMs = this.options.clock.monotonicMs();
        return { head, path, query, match, key, secrets, arrivedMs, table };
    }

    /**
     * Completes the routing with the body.
     *
     * @param admitted - The admitted request.
     * @param body - The received bytes.
     * @returns The request to dispatch.
     * @throws RouterError when body, model or class are not accepted.
     */
    resolveRequest(admitted: AdmittedRequest, body: Buffer | undefined): RoutedRequest {
        const { head, key, secrets } = admitted;
        if (key !== undefined && this.options.keys.isWithdrawn(key.id)) {
            throw new RouterError(ErrorKind.KeyWithdrawn);
        }
        if (body !== undefined && secrets.some((secret) => body.includes(secret))) {
            throw new RouterError(
                ErrorKind.InvalidRequest,
                "The body contains a key; send it as a header only.",
            );
        }
        const target = resolveTarget(admitted, body);
        const query = selectQuery(admitted.query, secrets);
        const idempotencyKey = head.headers["idempotency-key"];
        return {
            requestId: head.requestId,
            arrivedMs: admitted.arrivedMs,
            customer: key?.customer ?? anonymousCustomer,
            keyId: key?.id,
            ...target,
            method: head.method,
            path: query === "" ? admitted.path : `${admitted.path}?${query}`,
            headers: selectRequestHeaders(head.headers, secrets),
            body,
            idempotencyKey: typeof idempotencyKey === "string" ? idempotencyKey : undefined,
        };
    }

    private getRouteTable(): RouteTable {
        const applied = this.options.configuration.readCurrent();
        if (applied === undefined) {
            throw new RouterError(ErrorKind.NotReady);
        }
        if (this.table === undefined || this.applied !== applied) {
            this.applied = applied;
            this.table = new RouteTable(applied.configuration);
        }
        return this.table;
    }

    private findKey(secret: string | undefined, open: boolean): Key | undefined {
        if (secret === undefined) {
            if (open) {
                return undefined;
            }
            throw new RouterError(ErrorKind.MissingKey);
        }
        const lookup = this.options.keys.findKey(secret);
        if (lookup.type === "valid") {
            return lookup.key;
        }
        throw new RouterError(lookup.type === "withdrawn" ? ErrorKind.KeyWithdrawn : ErrorKind.InvalidKey);
    }
}

function findSafeRoute(table: RouteTable, path: string): RouteMatch {
    if (!path.startsWith("/") || unsafePathPattern.test(path)) {
        throw new RouterError(ErrorKind.InvalidRequest, "The path has empty, dot or encoded segments.");
    }
    const match = table.findRoute(path);
    if (match === undefined) {
        throw new RouterError(ErrorKind.UnknownRoute);
    }
    return match;
}

function checkMethod(match: RouteMatch, method: string): void {
    const methods: Readonly<Record<"models" | "modelCall", string>> = { models: "GET", modelCall: "POST" };
    const accepted =
        match.type === "plain"
            ? (match.route.methods as readonly string[]).includes(method)
            : methods[match.type] === method;
    if (!accepted) {
        throw new RouterError(ErrorKind.MethodNotAllowed);
    }
}

/** An encoded body could not be searched for keys. */
function checkEncoding(headers: IncomingHttpHeaders): void {
    if (hasContentEncoding(headers)) {
        throw new RouterError(ErrorKind.InvalidRequest, "Send the body without content-encoding.");
    }
}

function checkCustomer(match: RouteMatch, key: Key | undefined): void {
    if (match.type !== "plain" || match.route.customers === undefined) {
        return;
    }
    if (key === undefined || !match.route.customers.includes(key.customer)) {
        throw new RouterError(ErrorKind.CustomerNotAllowed);
    }
}

function resolveTarget(admitted: AdmittedRequest, body: Buffer | undefined): DispatchTarget {
    const { match, table } = admitted;
    if (match.type === "plain") {
        const { pool, path, repeatable } = match.route;
        const requestClass = findClass(admitted, match.route.class);
        return { pool, route: path, repeatable, modelCall: undefined, requestClass };
    }
    if (match.type === "models") {
        throw new RouterError(ErrorKind.UnknownRoute);
    }
    const modelCall = parseModelCall(body, match.kind);
    const pool = table.findPoolOfModel(modelCall.model);
    if (pool === undefined) {
        throw new RouterError(ErrorKind.UnknownModel);
    }
    const requestClass = findClass(admitted, undefined);
    return { pool, route: match.path, repeatable: true, modelCall, requestClass };
}

function findClass(admitted: AdmittedRequest, routeClass: string | undefined): string {
    const { head, key, table } = admitted;
    const header = head.headers["x-request-class"];
    const name = routeClass ?? (typeof header === "string" ? header : key?.defaultClass);
    if (name === undefined) {
        throw new RouterError(
            ErrorKind.UnknownClass,
            "The request names no class and the key has no default; send x-request-class.",
        );
    }
    if (!table.hasClass(name)) {
        throw new RouterError(ErrorKind.UnknownClass);
    }
    if (!table.isClassAllowed(key?.customer ?? anonymousCustomer, name)) {
        throw new RouterError(ErrorKind.CustomerNotAllowed);
    }
    return name;
}
