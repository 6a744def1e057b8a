/**
 * HTTP calls to the platform's services, with failures sorted by what they tell about the call's effect.
 *
 * @packageDocumentation
 */
import { Pool, type Dispatcher } from "undici";
import type { z } from "zod";
import { PlatformError, PlatformErrorKind } from "../platformError.js";
import { AnswerCollector, CallFailure, type CollectedAnswer } from "./answerCollector.js";
import { failureAnswerSchema, type FailureAnswer } from "./wireSchemas.js";

const defaultTimeoutMs = 5_000;
const defaultConnectTimeoutMs = 1_000;
const defaultMaximumConnections = 16;
const keepAliveTimeoutMs = 4_000;
const millisecondsPerSecond = 1_000;

/** Settings of a client of one platform service. */
export interface PlatformHttpOptions {
    /** IP address and port of the service. */
    readonly address: string;
    /** Bound on one call unless the call gives its own, in milliseconds; 5,000 when absent. */
    readonly timeoutMs?: number;
    /** Bound on opening a connection, in milliseconds; 1,000 when absent. */
    readonly connectTimeoutMs?: number;
    /** Most connections; 16 when absent. */
    readonly connections?: number;
}

/** Bounds of a call. */
export interface PlatformCallOptions {
    /** Bound on the whole call, in milliseconds. */
    readonly timeoutMs?: number;
    /** Asked in the tick in which the first byte would leave; on false nothing is sent. */
    readonly isSendAllowed?: () => boolean;
}

/** One call. */
export interface PlatformCall extends PlatformCallOptions {
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    readonly body?: Uint8Array | string;
    readonly contentType?: string;
}

/** Sends calls and never repeats one by itself. */
export class PlatformHttpClient {
    private readonly pool: Pool;
    private readonly timeoutMs: number;

    /**
     * @param serviceName - Name of the service for messages.
     * @param options - Where the service is and how long to wait.
     */
    constructor(
        private readonly serviceName: string,
        options: PlatformHttpOptions,
    ) {
        this.timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
        this.pool = new Pool(`http://${options.address}`, {
            connections: options.connections ?? defaultMaximumConnections,
            pipelining: 1,
            keepAliveTimeout: keepAliveTimeoutMs,
            connect: { timeout: options.connectTimeoutMs ?? defaultConnectTimeoutMs },
        });
    }

    /**
     * Sends a JSON call and checks the answer.
     *
     * @param path - The path.
     * @param body - The request.
     * @param schema - Schema of the answer.
     * @param bounds - Bounds of the call.
     * @returns The answer.
     */
    async sendJson<Schema extends z.ZodType>(
        path: string,
        body: unknown,
        schema: Schema,
        bounds: PlatformCallOptions = {},
    ): Promise<z.infer<Schema>> {
        const call: PlatformCall = {
            method: "POST",
            path,
            body: JSON.stringify(body),
            contentType: "application/json",
            ...bounds,
        };
        return this.parseAnswer(await this.sendCall(call), schema);
    }

    /**
     * Reads a JSON answer.
     *
     * @param path - The path.
     * @param schema - Schema of the answer.
     * @returns The answer.
     */
    async readJson<Schema extends z.ZodType>(path: string, schema: Schema): Promise<z.infer<Schema>> {
        return this.parseAnswer(await this.sendCall({ method: "GET", path }), schema);
    }

    /**
     * Sends a call.
     *
     * @param call - The call.
     * @param absentStatus - A status that is an answer although it is not 2xx.
     * @returns The answer.
     */
    async sendCall(call: PlatformCall, absentStatus?: number): Promise<CollectedAnswer> {
        const answer = await this.receiveAnswer(call).catch((error: unknown) => {
            throw this.convertFailure(call, error);
        });
        if (answer.status >= 200 && answer.status < 300) {
            return answer;
        }
        if (answer.status === absentStatus) {
            return answer;
        }
        throw this.convertRefusal(call, answer);
    }

    /**
     * Checks a JSON answer.
     *
     * @param answer - The answer.
     * @param schema - Its schema.
     * @returns The parsed answer.
     */
    parseAnswer<Schema extends z.ZodType>(answer: CollectedAnswer, schema: Schema): z.infer<Schema> {
        const result = schema.safeParse(parseJson(answer.body));
        if (!result.success) {
            const message = `${this.serviceName}: the answer does not have the expected form`;
            throw new PlatformError(PlatformErrorKind.Ambiguous, message);
        }
        return result.data;
    }

    /** Closes all connections; running calls fail. */
    async close(): Promise<void> {
        await this.pool.destroy();
    }

    private receiveAnswer(call: PlatformCall): Promise<CollectedAnswer> {
        const timeoutMs = call.timeoutMs ?? this.timeoutMs;
        let timer: NodeJS.Timeout | undefined;
        const collected = new Promise<CollectedAnswer>((resolve, reject) => {
            const collector = new AnswerCollector(resolve, reject, call.isSendAllowed);
            timer = setTimeout(() => collector.cancel(`no answer within ${timeoutMs} ms`), timeoutMs);
            this.pool.dispatch(buildDispatchOptions(call), collector);
        });
        return collected.finally(() => clearTimeout(timer));
    }

    private convertFailure(call: PlatformCall, error: unknown): PlatformError {
        const sent = !(error instanceof CallFailure) || error.sent;
        const kind = sent ? PlatformErrorKind.Ambiguous : PlatformErrorKind.Unavailable;
        const reason = error instanceof Error ? error.message : String(error);
        return new PlatformError(kind, `${this.serviceName}: ${call.method} ${call.path}: ${reason}`);
    }

    private convertRefusal(call: PlatformCall, answer: CollectedAnswer): PlatformError {
        const failure = failureAnswerSchema.safeParse(parseJson(answer.body)).data;
        const reason = failure?.message ?? "no reason given";
        const message = `${this.serviceName}: ${call.method} ${call.path}: status ${answer.status}: ${reason}`;
        const kind = selectErrorKind(answer.status, failure);
        return new PlatformError(kind, message, readRetryAfterMs(answer, failure));
    }
}

function buildDispatchOptions(call: PlatformCall): Dispatcher.DispatchOptions {
    const headers = call.contentType === undefined ? {} : { "content-type": call.contentType };
    return {
        method: call.method,
        path: call.path,
        body: call.body,
        headers,
        headersTimeout: 0,
        bodyTimeout: 0,
    };
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    } catch {
        return undefined;
    }
}

function selectErrorKind(status: number, failure: FailureAnswer | undefined): PlatformErrorKind {
    if (status === 429) {
        return PlatformErrorKind.RateLimited;
    }
    if (status >= 400 && status < 500) {
        return PlatformErrorKind.Rejected;
    }
    if (status === 503 && failure?.executed === "no") {
        return PlatformErrorKind.Unavailable;
    }
    return PlatformErrorKind.Ambiguous;
}

function readRetryAfterMs(answer: CollectedAnswer, failure: FailureAnswer | undefined): number | undefined {
    if (failure?.retryAfterMs !== undefined) {
        return failure.retryAfterMs;
    }
    const seconds = Number(answer.headers["retry-after"]);
    return Number.isFinite(seconds) ? seconds * millisecondsPerSecond : undefined;
}
