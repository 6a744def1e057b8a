/**
 * Parses the fields of a model engine's stream event that the router uses.
 *
 * @packageDocumentation
 */

/** The content of one stream event. */
export interface StreamEvent {
    /** Generated text. */
    readonly text: string;
    /** Whether the event carries generated output: text or tool calls. */
    readonly generated: boolean;
    /** Whether the event carries a finish reason, which ends the output. */
    readonly finished: boolean;
    /** Token counts; undefined when the event has none. */
    readonly usage: TokenUsage | undefined;
}

/** Token counts that the engine reports. */
export interface TokenUsage {
    readonly promptTokens: number;
    readonly completionTokens: number;
}

/** Data of the event that terminates a stream. */
export const streamTerminator = "[DONE]";

interface EventChoice {
    readonly text?: string;
    readonly delta?: { readonly content?: string | undefined; readonly tool_calls?: unknown };
    readonly finish_reason?: string | undefined;
}

interface EventBody {
    readonly choices?: readonly EventChoice[];
    readonly usage?: { readonly prompt_tokens?: number; readonly completion_tokens?: number };
    readonly error?: unknown;
}

/**
 * Parses the data of a stream event.
 *
 * @param data - JSON text of the event.
 * @returns The event's content, or undefined when the data is not a JSON object or reports an error.
 */
export function parseStreamEvent(data: string): StreamEvent | undefined {
    const body = parseBody(data);
    if (body === undefined || body.error !== undefined) {
        return undefined;
    }
    const choice = body.choices?.[0];
    const text = choice?.delta?.content ?? choice?.text ?? "";
    return {
        text,
        generated: text !== "" || choice?.delta?.tool_calls !== undefined,
        finished: typeof choice?.finish_reason === "string",
        usage: readTokenUsage(body),
    };
}

/**
 * Reads the token counts of a response or a stream event.
 *
 * @param body - The parsed JSON.
 * @returns The counts, or undefined when there are none.
 */
export function readTokenUsage(body: unknown): TokenUsage | undefined {
    const usage = (body as EventBody | undefined)?.usage;
    if (typeof usage?.completion_tokens !== "number") {
        return undefined;
    }
    return { promptTokens: usage.prompt_tokens ?? 0, completionTokens: usage.completion_tokens };
}

function parseBody(data: string): EventBody | undefined {
    try {
        const value: unknown = JSON.parse(data);
        return typeof value === "object" && value ? (value as EventBody) : undefined;
    } catch {
        return undefined;
    }
}
