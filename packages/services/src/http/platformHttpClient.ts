/**
 * Sends HTTP calls to the platform's services and classifies failures by whether the call may have taken effect.
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

/** Options of a client of one platform service. */
export interface PlatformHttpOptions {
    /** IP address and port of the service. */
    readonly address: string;
    /** Timeout of calls that specify none, in milliseconds; defaults to 5,000. */
    readonly timeoutMs?: number;
    /** Timeout for opening a connection, in milliseconds; defaults to 1,000. */
    readonly connectTimeoutMs?: number;
    /** Maximum number of connections; defaults to 16. */
    readonly connections?: number;
}

/** Options of a call. */
export interface PlatformCallOptions {
    /** Timeout of the complete call, in milliseconds. */
    readonly timeoutMs?: number;
    /** Called in the tick in which the first byte would be sent; if it returns false, nothing is sent. */
    readonly isSendAllowed?: () => boolean;
}

/** A call to a platform service. */
export interface PlatformCall extends PlatformCallOptions {
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    readonly body?: Uint8Array | string;
    readonly contentType?: string;
}

/** Sends calls to one platform service; never retries a call. */
export class PlatformHttpClient {
    private readonly pool: Pool;
    private readonly timeoutMs: number;

    /**
     * @param serviceName - Name of the service in error messages.
     * @param options - Address and limits of the service.
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
     * Sends a JSON request with `POST` and validates the response.
     *
     * @param path - The path.
     * @param body - The request body.
     * @param schema - Schema of the response.
     * @param options - Options of the call.
     * @returns The response.
     */
    async sendJson<Schema extends z.ZodType>(
        path: string,
        body: unknown,
        schema: Schema,
        options: PlatformCallOptions = {},
    ): Promise<z.infer<Schema>> {
        const call: PlatformCall = {
            method: "POST",
            path,
            body: JSON.stringify(body),
            contentType: "application/json",
            ...options,
        };
        return this.parseAnswer(await this.sendCall(call), schema);
    }

    /**
     * Reads JSON with `GET` and validates the response.
     *
     * @param path - The path.
     * @param schema - Schema of the response.
     * @returns The response.
     */
    async readJson<Schema extends z.ZodType>(path: string, schema: Schema): Promise<z.infer<Schema>> {
        return this.parseAnswer(await this.sendCall({ method: "GET", path }), schema);
    }

    /**
     * Sends a call.
     *
     * @param call - The call.
     * @param acceptedStatus - A status outside 2xx that does not count as a failure.
     * @returns The response.
     */
    async sendCall(call: PlatformCall, acceptedStatus?: number): Promise<CollectedAnswer> {
        const answer = await this.receiveAnswer(call).catch((error: unknown) => {
            throw this.convertFailure(call, error);
        });
        if (answer.status >= 200 && answer.status < 300) {
            return answer;
        }
        if (answer.status === acceptedStatus) {
            return answer;
        }
        throw this.convertRefusal(call, answer);
    }

    /**
     * Parses and validates a JSON response.
     *
     * @param answer - The response.
     * @param schema - The schema of the response.
     * @returns The parsed response.
     */
    parseAnswer<Schema extends z.ZodType>(answer: CollectedAnswer, schema: Schema): z.infer<Schema> {
        const result = schema.safeParse(parseJson(answer.body));
        if (!result.success) {
            const message = `${this.serviceName}: the answer does not have the expected form`;
            throw new PlatformError(PlatformErrorKind.Ambiguous, message);
        }
        return result.data;
    }

    /** Closes all connections; calls in progress fail. */
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
