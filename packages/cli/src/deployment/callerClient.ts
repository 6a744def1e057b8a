/**
 * A caller that tries once and reads the whole answer.
 *
 * @packageDocumentation
 */
import { request } from "undici";

/** One call. */
export interface CallerHttpRequest {
    readonly address: string;
    readonly secret: string;
    readonly path: string;
    readonly requestClass: string;
    readonly body?: unknown;
    readonly idempotencyKey?: string;
    /** Called with each part of the answer. */
    readonly onPart?: (part: string) => void;
}

/** What came back. */
export interface CallerHttpResponse {
    readonly status: number;
    readonly text: string;
    readonly requestId: string;
    readonly replayed: boolean;
    /** Whether a stream ended with its terminator. */
    readonly streamComplete: boolean;
}

/**
 * Calls a node once.
 *
 * @param call - The call.
 * @returns The answer.
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
