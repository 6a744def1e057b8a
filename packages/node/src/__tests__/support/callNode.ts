/** Sends requests to a node as a caller does. */
import { request } from "undici";
import { secret, type TestNode } from "./testNode.js";

/** A response as the caller receives it. */
export interface CallerAnswer {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly text: string;
    /** Error of the parsed body; undefined for other responses. */
    readonly error: { kind: string; message: string; executed: string; requestId: string } | undefined;
}

export interface CallOptions {
    readonly method?: "GET" | "POST" | "PUT" | "DELETE";
    readonly path: string;
    readonly headers?: Record<string, string>;
    readonly body?: unknown;
    readonly signal?: AbortSignal;
}

/** Sends a request with the test key and reads the complete response. */
export async function callNode(node: TestNode, options: CallOptions): Promise<CallerAnswer> {
    const body =
        options.body === undefined || typeof options.body === "string"
            ? options.body
            : JSON.stringify(options.body);
    const answer = await request(`${node.url}${options.path}`, {
        method: options.method ?? (body === undefined ? "GET" : "POST"),
        headers: {
            authorization: `Bearer ${secret}`,
            "content-type": "application/json",
            ...options.headers,
        },
        body,
        signal: options.signal,
    });
    const text = await answer.body.text();
    const error = /^\{"error"/.test(text)
        ? (JSON.parse(text) as { error: CallerAnswer["error"] }).error
        : undefined;
    return { status: answer.statusCode, headers: answer.headers, text, error };
}

/** Builds a chat request body. */
export function buildChat(fields: Record<string, unknown> = {}): Record<string, unknown> {
    return { model: "copy-1", messages: [{ role: "user", content: "Write a leaflet" }], ...fields };
}

/** Reads the text of a stream as a caller's client library does. */
export function readStreamText(stream: string): string {
    return stream
        .split("\n\n")
        .filter((event) => event.startsWith("data: {"))
        .map((event) => JSON.parse(event.slice("data: ".length)))
        .map((event) => event.choices[0].delta.content ?? "")
        .join("");
}
