/**
 * An HTTP client of the callers' interface that sends a request once and reads the complete response.
 *
 * @packageDocumentation
 */
import { request } from "undici";

/** A request to a node. */
export interface CallerHttpRequest {
    readonly address: string;
    readonly secret: string;
    readonly path: string;
    readonly requestClass: string;
    readonly body?: unknown;
    readonly idempotencyKey?: string;
    /** Called with each part of the response body. */
    readonly onPart?: (part: string) => void;
}

/** A complete response. */
export interface CallerHttpResponse {
    readonly status: number;
    readonly text: string;
    readonly requestId: string;
    /** Whether the node replayed a stored response. */
    readonly replayed: boolean;
    /** Whether the body ended with the terminator of a stream. */
    readonly streamComplete: boolean;
}

/**
 * Sends a request to a node, without retries.
 *
 * @param call - The request.
 * @returns The complete response.
 */
export async function sendCallerRequest(call: CallerHttpRequest): Promise<CallerHttpResponse> {
    const { statusCode, headers, body } = await request(`http://${call.address}${call.path}`, {
        method: call.body === undefined ? "GET" : "POST",
        headers: {
            authorization: `Bearer ${call.secret}`,
            "x-request-class": call.requestClass,
            ...(call.body === undefined ? {} : { "content-type": "application/json" }),
            ...(call.idempotencyKey === undefined ? {} : { "idempotency-key": call.idempotencyKey }),
        },
        ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
    });
    let text = "";
    body.setEncoding("utf8");
    for await (const part of body) {
        text += part;
        call.onPart?.(String(part));
    }
    return {
        status: statusCode,
        text,
        requestId: String(headers["x-request-id"]),
        replayed: headers["idempotent-replayed"] === "true",
        streamComplete: text.trimEnd().endsWith("data: [DONE]"),
    };
}
