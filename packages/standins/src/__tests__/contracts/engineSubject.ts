/**
 * The engine stand-in under test and the calls that its contract tests share.
 *
 * @packageDocumentation
 */
import type { ManualClock } from "@pimentocleat/types";
import {
    startEngine,
    TokenGenerator,
    type EngineOptions,
    type RecordedRequest,
    type RunningEngine,
} from "../../index.js";
import { readBackendJson, sendBackendCall, type BackendAnswer } from "./backendCalls.js";

/** Name of the model that the engine serves. */
export const model = "demo-model";

/** Prompt of 120 tokens that fills two complete cache blocks. */
export const prompt = "Write the copy of a leaflet. ".repeat(20);

/** Length of the completions, in tokens. */
export const answerTokens = 12;

/** Body of a streamed request. */
export const body = { model, prompt, max_tokens: answerTokens, ignore_eos: true, stream: true };

/** Body of a request that runs until it is cancelled. */
export const endlessBody = { ...body, max_tokens: 1_000_000 };

/**
 * Builds the first tokens of the expected completion.
 *
 * @param source - The prompt.
 * @param count - Number of tokens.
 * @returns The text of these tokens.
 */
export function buildText(source: string, count: number): string {
    return new TokenGenerator({ model, prompt: source, seed: 0 }).buildText(count);
}

/** Starts an engine for each test. All functions are bound, so that tests can destructure them. */
export class EngineSubject {
    private running: RunningEngine | undefined;

    /** The engine of the current test. */
    get engine(): RunningEngine {
        return this.running as RunningEngine;
    }

    readonly start = async (options: EngineOptions = {}, clock?: ManualClock): Promise<void> => {
        this.running = await startEngine({ tokenIntervalMs: 0, tokensPerStep: 1, ...options }, clock);
    };

    readonly close = (): Promise<void> => this.engine.close();

    readonly send = (path: string, content: unknown, headers = {}): Promise<BackendAnswer> =>
        sendBackendCall(this.engine.address, { path, body: content, headers });

    readonly readJson = (path: string): Promise<never> => readBackendJson(this.engine.address, path);

    readonly sendCompletion = (
        fields = {},
        requestId = "own",
        signal?: AbortSignal,
    ): Promise<BackendAnswer> => {
        const headers = { "x-request-id": requestId };
        const call = { path: "/v1/completions", body: { ...body, ...fields }, headers, signal };
        return sendBackendCall(this.engine.address, call);
    };

    /** Polls the engine until the condition holds; the engine has no event to wait for. */
    readonly waitUntil = async (condition: () => boolean): Promise<void> => {
        while (!condition()) {
            await this.readJson("/state");
        }
    };

    readonly findRecord = (requestId: string): RecordedRequest | undefined =>
        this.engine.readRecord().find((record) => record.requestId === requestId);

    readonly hasTokens = (requestId: string): boolean =>
        (this.findRecord(requestId)?.tokensGenerated ?? 0) > 0;
}
