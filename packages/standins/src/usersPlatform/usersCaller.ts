/**
 * HTTP client that calls the nodes of the users' platform as a customer does.
 *
 * @packageDocumentation
 */
import { request as sendRequest, type Dispatcher } from "undici";
import { usersCustomerKey, usersRouteHost } from "./usersConfiguration.js";

/** Options that override the defaults of a request. */
export interface UsersCallOptions {
    readonly method?: Dispatcher.HttpMethod;
    readonly headers?: Record<string, string>;
    readonly body?: string;
    readonly signal?: AbortSignal;
    /** Time within which the caller needs the response, in milliseconds; 2,000 when absent. */
    readonly deadlineMs?: number;
}

const defaultDeadlineMs = 2_000;
const promptRepeats = 200;

/** A prompt of which other requests share a part, so that nodes announce it to each other. */
export const usersPrompt: UsersCallOptions = {
    method: "POST",
    body: "prompt".repeat(promptRepeats),
    headers: { "x-prompt-prefix": "shared:300,own:100", "x-token-counts": "400,20" },
};

/** A response as the caller received it. */
export interface ReceivedAnswer {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: string;
    /** Whether the connection broke before the response body was complete. */
    readonly isBroken: boolean;
    /** Identifier that the request was sent with. */
    readonly requestId: string;
    /** Whether the response carries the identifier of this request. */
    readonly isOwn: boolean;
    /** Whether the response carries a backend server's signature; the node's own responses have none. */
    readonly isSigned: boolean;
}

let lastRequestNumber = 0;

/**
 * Sends a request with the test customer's key, a unique identifier and a deadline.
 *
 * @param address - IP address and port of the node.
 * @param path - Path and query.
 * @param options - Overrides of the defaults.
 * @returns The response; rejects when no response headers arrive.
 */
export async function sendUsersCall(
    address: string,
    path: string,
    options: UsersCallOptions = {},
): Promise<ReceivedAnswer> {
    lastRequestNumber += 1;
    const requestId = `request-${String(lastRequestNumber)}`;
    const headers = {
        host: usersRouteHost,
        "x-request-id": requestId,
        "x-deadline-ms": String(options.deadlineMs ?? defaultDeadlineMs),
        authorization: `Bearer ${usersCustomerKey}`,
        ...options.headers,
    };
    const { method = "GET", body, signal } = options;
    const answer = await sendRequest(`http://${address}${path}`, { method, headers, body, signal });
    const received = {
        status: answer.statusCode,
        headers: answer.headers,
        requestId: headers["x-request-id"],
        isOwn: answer.headers["x-request-id"] === headers["x-request-id"],
        isSigned: answer.headers["x-server-signature"] !== undefined,
    };
    let text = "";
    try {
        for await (const chunk of answer.body) {
            text += String(chunk);
        }
        return { ...received, body: text, isBroken: false };
    } catch {
        return { ...received, body: text, isBroken: true };
    }
}
