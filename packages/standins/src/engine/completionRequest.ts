/**
 * Parses the OpenAI-compatible requests of the model engine stand-in.
 *
 * @packageDocumentation
 */
import { z } from "zod";

const defaultSeed = 0;

const resumeSchema = z.strictObject({
    /** The part of the answer that the caller has already received. */
    text: z.string(),
    /** Number of tokens of `text`. */
    tokens: z.int().nonnegative(),
});

const commonFields = {
    model: z.string().min(1),
    stream: z.boolean().optional(),
    max_tokens: z.int().positive().optional(),
    max_completion_tokens: z.int().positive().optional(),
    seed: z.int().optional(),
    ignore_eos: z.boolean().optional(),
    resume: resumeSchema.optional(),
};

const textPartSchema = z.object({ type: z.literal("text"), text: z.string() });

/** Body of `POST /v1/chat/completions`; unknown fields are ignored. */
export const chatRequestSchema = z.object({
    ...commonFields,
    messages: z
        .array(z.object({ role: z.string(), content: z.union([z.string(), z.array(textPartSchema)]) }))
        .min(1),
});

/** Body of `POST /v1/completions`; unknown fields are ignored. */
export const textRequestSchema = z.object({ ...commonFields, prompt: z.string() });

/** The part of an answer that the caller has already received and that the engine continues. */
export type ResumePoint = z.infer<typeof resumeSchema>;

/** Response format: that of the chat completions route or that of the text completions route. */
export type AnswerFormat = "chat" | "text";

/** A completion request, parsed to the same fields for both routes. */
export interface CompletionRequest {
    readonly format: AnswerFormat;
    readonly model: string;
    readonly prompt: string;
    readonly seed: number;
    readonly stream: boolean;
    /** Maximum number of tokens of the complete answer, including the resumed part. */
    readonly maximumTokens: number | undefined;
    /** Whether to generate up to `maximumTokens` instead of stopping at the model's natural end. */
    readonly ignoresEndOfSequence: boolean;
    readonly resume: ResumePoint | undefined;
}

/**
 * Parses the body of a completion request.
 *
 * @param format - Format of the route that received the request.
 * @param body - Parsed JSON body.
 * @returns The request.
 * @throws ZodError when the body doesn't match the schema of the route.
 */
export function parseCompletionRequest(format: AnswerFormat, body: unknown): CompletionRequest {
    if (format === "text") {
        const text = textRequestSchema.parse(body);
        return buildRequest(format, text, text.prompt);
    }
    const chat = chatRequestSchema.parse(body);
    return buildRequest(format, chat, renderPrompt(chat.messages));
}

function buildRequest(
    format: AnswerFormat,
    fields: Omit<z.infer<typeof textRequestSchema>, "prompt">,
    prompt: string,
): CompletionRequest {
    return {
        format,
        prompt,
        model: fields.model,
        seed: fields.seed ?? defaultSeed,
        stream: fields.stream ?? false,
        maximumTokens: fields.max_completion_tokens ?? fields.max_tokens,
        ignoresEndOfSequence: fields.ignore_eos ?? false,
        resume: fields.resume,
    };
}

/**
 * Renders chat messages as the prompt that the prefix cache and the generated tokens depend on.
 *
 * @param messages - The messages.
 * @returns The prompt: for each message its role, a line feed, its content and a line feed.
 */
export function renderPrompt(messages: z.infer<typeof chatRequestSchema>["messages"]): string {
    return messages.map((message) => `${message.role}\n${renderContent(message.content)}\n`).join("");
}

function renderContent(content: string | readonly z.infer<typeof textPartSchema>[]): string {
    return typeof content === "string" ? content : content.map((part) => part.text).join("");
}
