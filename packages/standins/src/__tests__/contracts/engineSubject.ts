/**
 * An engine stand-in under test and the calls that its contract tests share.
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

/** The model that the engine serves. */
export const model = "demo-model";

/** A prompt of two whole cache blocks and 120 tokens. */
export const prompt = "Write the copy of a leaflet. ".repeat(20);

/** Length of the answers, in tokens. */
export const answerTokens = 12;

/** A streamed request. */
export const body = { model, prompt, max_tokens: answerTokens, ignore_eos: true, stream: true };

/** A request that runs until it is cancelled. */
export const endlessBody = { ...body, max_tokens: 1_000_000 };

/**
 * Builds the beginning of the right answer.
 *
 * @param source - The prompt.
 * @param count - Number of tokens.
 * @returns The text.
 */
export function buildText(source: string, count: number): string {
    return new TokenGenerator({ model, prompt: source, seed: 0 }).buildText(count);
}

/** Starts an engine for each test; all methods may be taken out of the object. */
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

    /** Polls the engine's own record, as a caller has no event for it. */
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
