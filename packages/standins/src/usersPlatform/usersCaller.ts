/**
 * A caller of the users' platform.
 *
 * @packageDocumentation
 */
import { request as sendRequest, type Dispatcher } from "undici";
import { usersCustomerKey, usersRouteHost } from "./usersConfiguration.js";

/** What a request has beyond the usual. */
export interface UsersCallOptions {
    readonly method?: Dispatcher.HttpMethod;
    readonly headers?: Record<string, string>;
    readonly body?: string;
    readonly signal?: AbortSignal;
}

/** An answer as a caller got it. */
export interface ReceivedAnswer {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: string;
    /** Whether the connection broke before the answer was complete. */
    readonly isBroken: boolean;
    readonly requestId: string;
    /** Whether it answers this very request. */
    readonly isOwn: boolean;
    /** Whether a backend server made it, not the node. */
    readonly isSigned: boolean;
}

let lastRequestNumber = 0;

/**
 * Sends a request with the only customer's key, an identifier of its own and two seconds to wait.
 *
 * @param address - The node's IP address and port.
 * @param path - Path and query.
 * @param options - What differs.
 * @returns The answer; rejects when there is none.
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
        "x-deadline-ms": "2000",
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
