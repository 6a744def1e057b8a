/**
 * Requesters, and the configuration under which they send.
 */
import { randomBytes } from "node:crypto";
import { Agent, request as sendRequest } from "node:http";

const host = "127.0.0.1";
export const routeHost = "seats.example";
export const key = "key-of-tenant";

/** Builds a configuration with the given routes. */
export function buildConfiguration(version, routes) {
    return {
        Version: version,
        Routes: routes.map((route) => ({
            Host: routeHost,
            Priority: 1,
            Public: false,
            MaxAttempts: 2,
            ...route,
        })),
        Services: [
            { Name: "app", HealthPath: "/health", MaxConnections: 110, Protocol: "h1", Tls: false },
            {
                Name: "llm",
                HealthPath: "/health",
                MaxConnections: 370,
                Protocol: "h1",
                Tls: false,
                Engine: {
                    Slots: 64,
                    KvCapacity: 355_201,
                    KvTokenBytes: 18_432,
                    LinkMbps: 180_000,
                    Stride: 7,
                },
            },
        ],
        Limits: {
            MaxHeaderBytes: 16_384,
            MaxBodyBytes: 4_194_304,
            HeaderTimeoutMs: 3_000,
            IdleTimeoutMs: 15_000,
        },
        Tenants: [{ Name: "tenant", ApiKeys: [key], Priority: 1 }],
    };
}

/** Builds an agent that keeps channels open, as requesters do. */
export function buildAgent() {
    return new Agent({ keepAlive: true });
}

/**
 * Sends a request and receives what comes back.
 *
 * @returns Status, headers and body, whether the answer was complete, and when it ended.
 */
export function sendCall(
    port,
    { method = "GET", path, body, headers = {}, deadlineMs = 4_000, agent, onData, giveUpMs },
) {
    const requestId = randomBytes(8).toString("hex");
    const sentMs = performance.now();
    return new Promise((resolve) => {
        const result = {
            requestId,
            sentMs,
            status: undefined,
            body: "",
            isComplete: false,
            error: undefined,
        };
        const finish = () => {
            clearTimeout(timer);
            resolve({ ...result, endedMs: performance.now() });
        };
        const call = sendRequest({
            host,
            port,
            method,
            path,
            agent,
            headers: {
                host: routeHost,
                "x-request-id": requestId,
                "x-deadline-ms": String(deadlineMs),
                authorization: `Bearer ${key}`,
                ...headers,
            },
        });
        const timer =
            giveUpMs === undefined
                ? undefined
                : setTimeout(() => call.destroy(new Error("given up")), giveUpMs);
        call.on("response", (response) => {
            result.status = response.statusCode;
            result.headers = response.headers;
            response.on("data", (bytes) => {
                result.body += String(bytes);
                onData?.(response, bytes, result);
            });
            response.once("end", () => {
                result.isComplete = response.complete;
                finish();
            });
            response.once("error", (error) => {
                result.error = error.message;
                finish();
            });
        });
        call.once("error", (error) => {
            result.error = error.message;
            finish();
        });
        call.end(body);
    });
}
