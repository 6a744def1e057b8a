/**
 * Reads what the router needs from the body of a model request.
 *
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import { ErrorKind, RouterError } from "@pimentocleat/types";
import { z } from "zod";
import type { ModelCall } from "../dispatch/routedRequest.js";

const charactersPerToken = 4;
const blockCharacters = 256;
const blockDigestLength = 16;
const maximumPrefixBlocks = 512;

const tokenCountSchema = z.int().positive();

const messageSchema = z.looseObject({
    role: z.string(),
    content: z.union([z.string(), z.array(z.looseObject({ text: z.string().optional() }))]).nullish(),
});

const sharedFields = {
    model: z.string().min(1),
    stream: z.boolean().nullish(),
    max_tokens: tokenCountSchema.nullish(),
    max_completion_tokens: tokenCountSchema.nullish(),
    n: z.int().positive().nullish(),
    tools: z.array(z.unknown()).nullish(),
    resume: z.undefined("resume is not open to callers").optional(),
};

const chatSchema = z.looseObject({ ...sharedFields, messages: z.array(messageSchema).min(1) });
const completionSchema = z.looseObject({ ...sharedFields, prompt: z.string().min(1) });

type ChatBody = z.infer<typeof chatSchema>;
type CompletionBody = z.infer<typeof completionSchema>;

/**
 * Parses the body of a model request.
 *
 * @param body - The received bytes.
 * @param kind - Which endpoint was called.
 * @returns What the router needs.
 * @throws RouterError naming the wrong field.
 */
export function parseModelCall(body: Buffer | undefined, kind: ModelCall["kind"]): ModelCall {
    const value = parseJson(body);
    const result = (kind === "chat" ? chatSchema : completionSchema).safeParse(value);
    if (!result.success) {
        const [issue] = result.error.issues;
        const field = issue?.path.join(".") || "body";
        throw new RouterError(ErrorKind.InvalidRequest, `${field}: ${issue?.message ?? "invalid"}`);
    }
    return buildModelCall(result.data, kind);
}

function parseJson(body: Buffer | undefined): unknown {
    try {
        return JSON.parse(body?.toString("utf8") ?? "");
    } catch (error) {
        throw new RouterError(ErrorKind.MalformedBody, undefined, { cause: error });
    }
}

function buildModelCall(fields: ChatBody | CompletionBody, kind: ModelCall["kind"]): ModelCall {
    const prompt = "messages" in fields ? buildPrompt(fields as ChatBody) : (fields as CompletionBody).prompt;
    return {
        model: fields.model,
        streamed: fields.stream ?? false,
        maximumTokens: fields.max_completion_tokens ?? fields.max_tokens ?? undefined,
        promptTokens: Math.ceil(prompt.length / charactersPerToken),
        prefixBlocks: computePrefixBlocks(prompt),
        resumable: (fields.n ?? 1) === 1 && (fields.tools ?? []).length === 0,
        kind,
    };
}

function buildPrompt(fields: ChatBody): string {
    return fields.messages.map((message) => `${message.role}\n${buildContent(message.content)}\n`).join("");
}

function buildContent(content: ChatBody["messages"][number]["content"]): string {
    if (typeof content === "string") {
        return content;
    }
    return (content ?? []).map((part) => part.text ?? "").join("");
}

/** Digests of the prompt's prefixes, in the form of the engines' cache events. */
function computePrefixBlocks(prompt: string): readonly string[] {
    const hash = createHash("sha256");
    const blocks: string[] = [];
    for (
        let end = blockCharacters;
        end <= prompt.length && blocks.length < maximumPrefixBlocks;
        end += blockCharacters
    ) {
        hash.update(prompt.slice(end - blockCharacters, end));
        blocks.push(hash.copy().digest("hex").slice(0, blockDigestLength));
    }
    return blocks;
}
