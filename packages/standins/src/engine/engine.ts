/**
 * The parts of a model engine stand-in and what its routes do with them.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { FastifyReply, FastifyRequest } from "fastify";
import { findFault, type FaultSwitches } from "../faults/faultSwitches.js";
import { LaggingValue, type TimestampedValue } from "../program/laggingValue.js";
import { readRequestId, type RecordedRequest } from "../program/requestRecorder.js";
import {
    FailedAnswerWriter,
    DroppedAnswerWriter,
    EventStreamWriter,
    BufferedAnswerWriter,
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

/** What the engine reports about its load. */
export interface EngineLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    readonly cachedBlocks: number;
    /** Share of the cache in use, 0 to 1. */
    readonly cacheUsage: number;
}

/** An answer that another request may get by a fault switch. */
interface AnswerSource {
    readonly requestId: string;
    readonly source: GenerationSource;
}

/** A running engine without its routes. */
export class Engine {
    readonly events: CacheEventLog;
    readonly cache: PrefixCache;
    readonly orders: EngineOrders;
    readonly scheduler: BatchScheduler;
    private readonly load: LaggingValue<EngineLoad>;
    private lastAnswer: AnswerSource | undefined;
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

    /** @returns The load, as old as the lag makes it. */
    readLoad(): TimestampedValue<EngineLoad> {
        return this.load.readValue();
    }

    /**
     * Starts to answer a completion; the reply is written directly from then on.
     *
     * @param completion - The request.
     * @param request - The HTTP request.
     * @param reply - The HTTP reply.
     */
    startCompletion(completion: CompletionRequest, request: FastifyRequest, reply: FastifyReply): void {
        const own = this.buildOwnAnswer(completion, request);
        const answer = this.selectAnswer(own, request);
        this.lastAnswer = own;
        const isEchoWrong = findFault(request.faults, "wrongEcho") !== undefined;
        const echoedId = isEchoWrong ? `${answer.requestId}-other` : answer.requestId;
        reply.hijack();
        const writer = this.buildWriter(completion, echoedId, request, reply);
        const generator = new TokenGenerator(answer.source);
        const sequence = this.buildSequence({ completion, own, generator, writer, request });
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

    private buildOwnAnswer(completion: CompletionRequest, request: FastifyRequest): AnswerSource {
        this.lastRequestNumber += 1;
        const { model, prompt, seed } = completion;
        const requestId = readRequestId(request) ?? `engine-${this.lastRequestNumber}`;
        return { requestId, source: { model, prompt, seed } };
    }

    private selectAnswer(own: AnswerSource, request: FastifyRequest): AnswerSource {
        if (findFault(request.faults, "crossedAnswers") === undefined) {
            return own;
        }
        const invented = { requestId: "crossed", source: { ...own.source, prompt: "crossed" } };
        return this.lastAnswer ?? invented;
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
        const createdS = Math.floor(this.clock.wallMs() / millisecondsPerSecond);
        const identity = { requestId, model: completion.model, form: completion.format, createdS };
        return completion.stream
            ? new EventStreamWriter(reply.raw, identity)
            : new BufferedAnswerWriter(reply.raw, identity);
    }

    private buildSequence(parts: SequenceInputs): Sequence {
        const { completion, own, generator, writer, request } = parts;
        const record = request.record as RecordedRequest;
        const { text, tokens } = completion.resume ?? { text: "", tokens: 0 };
        if (completion.resume !== undefined) {
            record.resumeMismatch = generator.buildText(tokens) !== text;
        }
        const natural = generator.computeLength(this.settings.meanOutputTokens);
        const maximum = completion.maximumTokens ?? natural;
        const length = completion.ignoresEndOfSequence ? maximum : Math.min(natural, maximum);
        return new Sequence({
            requestId: own.requestId,
            model: completion.model,
            priority: readPriority(request),
            prompt: completion.prompt,
            resumedText: text,
            resumedTokens: tokens,
            length,
            finishReason: length < natural || completion.ignoresEndOfSequence ? "length" : "stop",
            generator,
            writer,
            record,
            cutAfterTokens: findFault(request.faults, "cutMidAnswer")?.afterTokens,
        });
    }
}

interface SequenceInputs {
    readonly completion: CompletionRequest;
    readonly own: AnswerSource;
    readonly generator: TokenGenerator;
    readonly writer: AnswerWriter;
    readonly request: FastifyRequest;
}

function readPriority(request: FastifyRequest): number {
    const value = Number(request.headers["x-priority"] ?? defaultPriority);
    return Number.isFinite(value) ? value : defaultPriority;
}
