/**
 * The OpenAI-compatible request of the model engine stand-in.
 *
 * @packageDocumentation
 */
import { z } from "zod";

const defaultSeed = 0;

const resumeSchema = z.strictObject({
    /** The part of the answer that the caller has. */
    text: z.string(),
    /** Number of its tokens. */
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

/** The part of the answer that the caller has already. */
export type ResumePoint = z.infer<typeof resumeSchema>;

/** Which of the two forms of answer to give. */
export type AnswerFormat = "chat" | "text";

/** A request in one form for both routes. */
export interface CompletionRequest {
    readonly format: AnswerFormat;
    readonly model: string;
    readonly prompt: string;
    readonly seed: number;
    readonly stream: boolean;
    /** Most tokens of the whole answer, the resumed part included. */
    readonly maximumTokens: number | undefined;
    /** Whether to go on to the most tokens. */
    readonly ignoresEndOfSequence: boolean;
    readonly resume: ResumePoint | undefined;
}

/**
 * Parses a body.
 *
 * @param form - The route's form.
 * @param body - The body.
 * @returns The request.
 */
export function parseCompletionRequest(form: AnswerFormat, body: unknown): CompletionRequest {
    if (form === "text") {
        const text = textRequestSchema.parse(body);
        return buildRequest(form, text, text.prompt);
    }
    const chat = chatRequestSchema.parse(body);
    return buildRequest(form, chat, renderPrompt(chat.messages));
}

function buildRequest(
    form: AnswerFormat,
    fields: Omit<z.infer<typeof textRequestSchema>, "prompt">,
    prompt: string,
): CompletionRequest {
    return {
        format: form,
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
 * Renders chat messages to the text that the prefix cache and the answer depend on.
 *
 * @param messages - The messages.
 * @returns For each message its role, a line feed, its content and a line feed.
 */
export function renderPrompt(messages: z.infer<typeof chatRequestSchema>["messages"]): string {
    return messages.map((message) => `${message.role}\n${renderContent(message.content)}\n`).join("");
}

function renderContent(content: string | readonly z.infer<typeof textPartSchema>[]): string {
    return typeof content === "string" ? content : content.map((part) => part.text).join("");
}
