/**
 * The model engine behind the routes of the stand-in: scheduling, prefix cache, orders and load report.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { FastifyReply, FastifyRequest } from "fastify";
import { findFault, type FaultSwitches } from "../faults/faultSwitches.js";
import { LaggingValue, type TimestampedValue } from "../program/laggingValue.js";
import { readRequestId, type RecordedRequest } from "../program/requestRecorder.js";
import {
    BufferedAnswerWriter,
    DroppedAnswerWriter,
    EventStreamWriter,
    FailedAnswerWriter,
    type AnswerWriter,
} from "./answerWriter.js";
import { BatchScheduler } from "./batchScheduler.js";
import { CacheEventLog } from "./cacheEventLog.js";
import type { CompletionRequest } from "./completionRequest.js";
import { EngineOrders } from "./engineOrders.js";
import type { EngineSettings } from "./engineOptions.js";
import { PrefixCache } from "./prefixCache.js";
import { Sequence } from "./sequence.js";
import { TokenGenerator, type GenerationSource } from "./tokenGenerator.js";

const millisecondsPerSecond = 1_000;
const defaultPriority = 100;

/** Load report of the engine. */
export interface EngineLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    readonly cachedBlocks: number;
    /** Share of the prefix cache in use, from 0 to 1. */
    readonly cacheUsage: number;
}

/** Identifier and generation inputs of an answer; the `crossedAnswers` fault swaps in those of another one. */
interface AnswerSource {
    readonly requestId: string;
    readonly generation: GenerationSource;
}

/** Generates completions and reports the load, independently of the HTTP routes. */
export class Engine {
    readonly events: CacheEventLog;
    readonly cache: PrefixCache;
    readonly orders: EngineOrders;
    readonly scheduler: BatchScheduler;
    private readonly load: LaggingValue<EngineLoad>;
    private lastSource: AnswerSource | undefined;
    private lastRequestNumber = 0;

    /**
     * @param settings - Settings.
     * @param switches - Fault switches.
     * @param clock - Source of time.
     */
    constructor(
        private readonly settings: EngineSettings,
        private readonly switches: FaultSwitches,
        private readonly clock: Clock,
    ) {
        const { cacheEventCapacity: capacity, cacheEventLagMs: lagMs } = settings;
        this.events = new CacheEventLog({ capacity, lagMs, clock });
        this.cache = new PrefixCache({
            capacity: settings.cacheBlocks,
            blockCharacters: settings.blockCharacters,
            events: this.events,
        });
        const models = settings.models.split(",").filter((name) => name !== "");
        this.orders = new EngineOrders({ ...settings, models, clock });
        this.scheduler = new BatchScheduler({
            ...settings,
            cache: this.cache,
            clock,
            readStraggleFactor: () => this.switches.findActiveFault("straggle")?.factor ?? 1,
            onChange: () => this.load.setValue(this.measureLoad()),
        });
        this.load = new LaggingValue(this.measureLoad(), settings.loadLagMs, clock);
    }

    /** @returns The load report, delayed by `loadLagMs`. */
    readLoad(): TimestampedValue<EngineLoad> {
        return this.load.readValue();
    }

    /**
     * Starts a completion and takes over the reply, which Fastify no longer handles.
     *
     * @param completion - Parsed request.
     * @param request - HTTP request.
     * @param reply - HTTP reply.
     */
    startCompletion(completion: CompletionRequest, request: FastifyRequest, reply: FastifyReply): void {
        const ownSource = this.buildOwnSource(completion, request);
        const selected = this.selectSource(ownSource, request);
        this.lastSource = ownSource;
        const echoesWrongId = findFault(request.faults, "wrongEcho") !== undefined;
        const echoedId = echoesWrongId ? `${selected.requestId}-other` : selected.requestId;
        reply.hijack();
        const writer = this.buildWriter(completion, echoedId, request, reply);
        const generator = new TokenGenerator(selected.generation);
        const sequence = this.buildSequence({ completion, ownSource, generator, writer, request });
        reply.raw.once("close", () => this.scheduler.cancelSequence(sequence, undefined));
        this.scheduler.addSequence(sequence);
    }

    private measureLoad(): EngineLoad {
        const cachedBlocks = this.cache.countBlocks();
        return {
            running: this.scheduler.countRunning(),
            waiting: this.scheduler.countWaiting(),
            slots: this.settings.slots,
            cachedBlocks,
            cacheUsage: cachedBlocks / Math.max(1, this.settings.cacheBlocks),
        };
    }

    private buildOwnSource(completion: CompletionRequest, request: FastifyRequest): AnswerSource {
        this.lastRequestNumber += 1;
        const { model, prompt, seed } = completion;
        const requestId = readRequestId(request) ?? `engine-${this.lastRequestNumber}`;
        return { requestId, generation: { model, prompt, seed } };
    }

    private selectSource(ownSource: AnswerSource, request: FastifyRequest): AnswerSource {
        if (findFault(request.faults, "crossedAnswers") === undefined) {
            return ownSource;
        }
        const placeholder = {
            requestId: "crossed",
            generation: { ...ownSource.generation, prompt: "crossed" },
        };
        return this.lastSource ?? placeholder;
    }

    private buildWriter(
        completion: CompletionRequest,
        requestId: string,
        request: FastifyRequest,
        reply: FastifyReply,
    ): AnswerWriter {
        if (findFault(request.faults, "dropReply") !== undefined) {
            return new DroppedAnswerWriter(reply.raw);
        }
        if (findFault(request.faults, "failAfterEffect") !== undefined) {
            return new FailedAnswerWriter(reply.raw);
        }
        const createdAtSeconds = Math.floor(this.clock.wallMs() / millisecondsPerSecond);
        const identity = { requestId, model: completion.model, format: completion.format, createdAtSeconds };
        return completion.stream
            ? new EventStreamWriter(reply.raw, identity)
            : new BufferedAnswerWriter(reply.raw, identity);
    }

    private buildSequence(inputs: SequenceInputs): Sequence {
        const { completion, ownSource, generator, writer, request } = inputs;
        const record = request.record as RecordedRequest;
        const { text, tokens } = completion.resume ?? { text: "", tokens: 0 };
        if (completion.resume !== undefined) {
            record.resumeMismatch = generator.buildText(tokens) !== text;
        }
        const naturalLength = generator.computeLength(this.settings.meanOutputTokens);
        const maximumLength = completion.maximumTokens ?? naturalLength;
        const length = completion.ignoresEndOfSequence
            ? maximumLength
            : Math.min(naturalLength, maximumLength);
        return new Sequence({
            requestId: ownSource.requestId,
            model: completion.model,
            priority: readPriority(request),
            prompt: completion.prompt,
            resumedText: text,
            resumedTokens: tokens,
            length,
            finishReason: length < naturalLength || completion.ignoresEndOfSequence ? "length" : "stop",
            generator,
            writer,
            record,
            cutAfterTokens: findFault(request.faults, "cutMidAnswer")?.afterTokens,
        });
    }
}

interface SequenceInputs {
    readonly completion: CompletionRequest;
    readonly ownSource: AnswerSource;
    readonly generator: TokenGenerator;
    readonly writer: AnswerWriter;
    readonly request: FastifyRequest;
}

function readPriority(request: FastifyRequest): number {
    const value = Number(request.headers["x-priority"] ?? defaultPriority);
    return Number.isFinite(value) ? value : defaultPriority;
}
