/**
 * Records the requests that a backend server stand-in received and how they ended.
 *
 * @packageDocumentation
 */
import type { FastifyInstance, FastifyRequest } from "fastify";
import type { Clock } from "@pimentocleat/types";
import { findFault } from "../faults/faultSwitches.js";

const maximumRecordedBodyCharacters = 4_096;
/** Share of the limit that is dropped when the limit is exceeded. */
const evictedShare = 0.5;

declare module "fastify" {
    interface FastifyRequest {
        /** Record of the request; absent on routes without a `config.target`. */
        record?: RecordedRequest;
        /** Body before it was parsed as JSON. */
        bodyText?: string;
    }
}

/** State of a request: still running, or how it ended. */
export type RecordedOutcome = "running" | "finished" | "cancelled";

/** One received request. */
export interface RecordedRequest {
    readonly requestId: string | undefined;
    readonly method: string;
    readonly url: string;
    /** Alternating names and values, in the order and case received. */
    readonly rawHeaders: readonly string[];
    /** Alternating names and values, in the order and case received. */
    readonly rawTrailers: readonly string[];
    readonly bodyBytes: number;
    /** The first 4,096 characters of the body. */
    readonly body: string;
    /** Wall time of the start, in milliseconds since the Unix epoch. */
    readonly startedAtMs: number;
    /** Wall time of the end, in milliseconds since the Unix epoch. */
    finishedAtMs?: number;
    /** `cancelled` when the sender cancelled or the connection closed before the response was complete. */
    outcome: RecordedOutcome;
    /** Number of tokens that this server generated for the request. */
    tokensGenerated: number;
    /** Number of tokens generated for an answer that wasn't completed. */
    tokensWasted: number;
    /** Whether the text of a resumed request differs from what this server would have generated. */
    resumeMismatch?: boolean;
}

/** Keeps the records of the newest requests. */
export class RequestRecorder {
    private requests: RecordedRequest[] = [];

    /**
     * @param maximumRequests - Maximum number of records kept; when it is exceeded, the oldest half is dropped.
     * @param clock - Source of time.
     */
    constructor(
        private readonly maximumRequests: number,
        private readonly clock: Clock,
    ) {}

    /** @returns The recorded requests, in the order of arrival. */
    listRequests(): readonly RecordedRequest[] {
        return this.requests;
    }

    /**
     * Records a request.
     *
     * @param request - The request, whose body must have been read.
     * @returns The record.
     */
    addRequest(request: FastifyRequest): RecordedRequest {
        const body = request.bodyText ?? "";
        const record: RecordedRequest = {
            requestId: readRequestId(request),
            method: request.method,
            url: request.raw.url ?? "",
            rawHeaders: request.raw.rawHeaders,
            rawTrailers: request.raw.rawTrailers,
            bodyBytes: Buffer.byteLength(body),
            body: body.slice(0, maximumRecordedBodyCharacters),
            startedAtMs: this.clock.wallMs(),
            outcome: "running",
            tokensGenerated: 0,
            tokensWasted: 0,
        };
        this.requests.push(record);
        if (this.requests.length > this.maximumRequests) {
            this.requests = this.requests.slice(Math.ceil(this.maximumRequests * evictedShare));
        }
        return record;
    }

    /**
     * Records the end of a request.
     *
     * @param record - Record of the request.
     * @param isComplete - Whether the complete response was written.
     */
    finishRequest(record: RecordedRequest, isComplete: boolean): void {
        if (record.outcome === "cancelled" || !isComplete) {
            record.outcome = "cancelled";
            record.tokensWasted = record.tokensGenerated;
        } else {
            record.outcome = "finished";
        }
        record.finishedAtMs = this.clock.wallMs();
    }
}

/**
 * Records every request to routes with a `config.target`, echoes `x-request-id` and adds `GET /record`.
 *
 * @param server - Server whose requests are recorded.
 * @param recorder - Recorder to add the requests to.
 */
export function registerRecorder(server: FastifyInstance, recorder: RequestRecorder): void {
    server.addContentTypeParser(
        "application/json",
        { parseAs: "string" },
        async (request: FastifyRequest, body: string) => {
            request.bodyText = body;
            return parseJsonBody(body);
        },
    );
    server.addHook("preHandler", async (request, reply) => {
        if (request.routeOptions.config.target === undefined) {
            return;
        }
        const record = recorder.addRequest(request);
        request.record = record;
        reply.raw.once("close", () => recorder.finishRequest(record, reply.raw.writableFinished));
    });
    server.addHook("onSend", async (request, reply, payload) => {
        const requestId = readRequestId(request);
        if (requestId !== undefined && !reply.hasHeader("x-request-id")) {
            const isWrong = findFault(request.faults ?? [], "wrongEcho") !== undefined;
            reply.header("x-request-id", isWrong ? `${requestId}-other` : requestId);
        }
        return payload;
    });
    server.get("/record", async () => ({ requests: recorder.listRequests() }));
}

/**
 * Reads the identifier that the sender gave a request.
 *
 * @param request - The request.
 * @returns The `x-request-id` header, or undefined when it is missing.
 */
export function readRequestId(request: FastifyRequest): string | undefined {
    return request.headers["x-request-id"]?.toString();
}

function parseJsonBody(body: string): unknown {
    try {
        return JSON.parse(body);
    } catch (cause) {
        throw Object.assign(new Error("the body is not valid JSON", { cause }), { statusCode: 400 });
    }
}
