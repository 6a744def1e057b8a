/**
 * Calls to backend server stand-ins for contract tests.
 *
 * @packageDocumentation
 */
import { request } from "undici";

/** A call. */
export interface BackendCall {
    readonly path: string;
    /** Sent as JSON by POST; without a body the call is a GET. */
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
    /** Ends the call. */
    readonly signal?: AbortSignal;
}

/** What the caller saw. */
export interface BackendAnswer {
    /** Undefined when the connection ended before the whole answer. */
    readonly status: number | undefined;
    readonly requestId?: string;
    readonly executed?: string;
    readonly text: string;
}

/**
 * Sends a call.
 *
 * @param address - IP address and port.
 * @param call - The call.
 * @returns What the caller saw.
 */
export async function sendBackendCall(address: string, call: BackendCall): Promise<BackendAnswer> {
    let text = "";
    try {
        const { statusCode, headers, body } = await request(`http://${address}${call.path}`, {
            method: call.body === undefined ? "GET" : "POST",
            headers: { "content-type": "application/json", ...call.headers },
            body: call.body === undefined ? undefined : JSON.stringify(call.body),
            signal: call.signal,
            reset: true,
        });
        for await (const chunk of body) {
            text += String(chunk);
        }
        const requestId = headers["x-request-id"]?.toString();
        return { status: statusCode, requestId, executed: headers["x-executed"]?.toString(), text };
    } catch {
        return { status: undefined, text };
    }
}

/**
 * Reads a JSON answer.
 *
 * @param address - IP address and port.
 * @param path - The path.
 * @returns The answer's body.
 */
export async function readBackendJson(address: string, path: string): Promise<never> {
    return JSON.parse((await sendBackendCall(address, { path })).text) as never;
}

/** A streamed answer as a caller can judge it. */
export interface ParsedStream {
    readonly text: string;
    readonly finishReason: string | undefined;
    readonly isTerminated: boolean;
    readonly hasError: boolean;
    readonly tokens: number;
}

interface StreamEvent {
    readonly error?: object;
    readonly choices?: readonly { text?: string; delta?: { content?: string }; finish_reason?: string }[];
}

/**
 * Parses a streamed answer.
 *
 * @param text - The body.
 * @returns What it holds.
 */
export function parseStream(text: string): ParsedStream {
    const lines = text.split("\n\n").filter((event) => event.startsWith("data: {"));
    const events = lines.map((line) => JSON.parse(line.slice("data: ".length)) as StreamEvent);
    const choices = events.flatMap((event) => event.choices ?? []);
    const parts = choices.map((choice) => choice.delta?.content ?? choice.text ?? "");
    return {
        text: parts.join(""),
        tokens: parts.filter((part) => part !== "").length,
        finishReason: choices.at(-1)?.finish_reason ?? undefined,
        isTerminated: text.endsWith("data: [DONE]\n\n"),
        hasError: events.some((event) => event.error !== undefined),
    };
}
