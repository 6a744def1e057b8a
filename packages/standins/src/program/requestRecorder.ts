/**
 * Records what a backend server stand-in really received.
 *
 * @packageDocumentation
 */
import type { FastifyInstance, FastifyRequest } from "fastify";
import type { Clock } from "@pimentocleat/types";
import { findFault } from "../faults/faultSwitches.js";

const maximumRecordedBodyLength = 4_096;
const evictedShare = 0.5;

declare module "fastify" {
    interface FastifyRequest {
        /** Record of the request; absent on control routes. */
        record?: RecordedRequest;
        /** The body as text. */
        bodyText?: string;
    }
}

/** How a request ended so far. */
export type RecordedOutcome = "running" | "finished" | "cancelled";

/** One received request. */
export interface RecordedRequest {
    readonly requestId: string | undefined;
    readonly method: string;
    readonly url: string;
    /** Names and values in turn, as they came. */
    readonly rawHeaders: readonly string[];
    /** Names and values in turn, as they came. */
    readonly rawTrailers: readonly string[];
    readonly bodyBytes: number;
    /** The first 4,096 characters of the body. */
    readonly body: string;
    /** Wall time of the start, in milliseconds since the Unix epoch. */
    readonly startedAtMs: number;
    /** Wall time of the end, in milliseconds since the Unix epoch. */
    finishedAtMs?: number;
    /** `cancelled` when the sender cancelled or the connection ended before the whole answer was written. */
    outcome: RecordedOutcome;
    /** Tokens that this server generated for the request. */
    tokensGenerated: number;
    /** Tokens generated for an answer that did not finish. */
    tokensWasted: number;
    /** Whether a resumed request carried another text than this server would have generated. */
    resumeMismatch?: boolean;
}

/** Keeps the newest requests. */
export class RequestRecorder {
    private requests: RecordedRequest[] = [];

    /**
     * @param maximumRequests - Most requests kept; the oldest go first.
     * @param clock - Source of time.
     */
    constructor(
        private readonly maximumRequests: number,
        private readonly clock: Clock,
    ) {}

    /** @returns The kept requests, in the order of arrival. */
    listRequests(): readonly RecordedRequest[] {
        return this.requests;
    }

    /**
     * Adds a request.
     *
     * @param request - The request, its body read.
     * @returns Its record.
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
            body: body.slice(0, maximumRecordedBodyLength),
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
     * Notes the end of a request.
     *
     * @param record - The record.
     * @param whole - Whether the whole answer was written.
     */
    finishRequest(record: RecordedRequest, whole: boolean): void {
        if (record.outcome === "cancelled" || !whole) {
            record.outcome = "cancelled";
            record.tokensWasted = record.tokensGenerated;
        } else {
            record.outcome = "finished";
        }
        record.finishedAtMs = this.clock.wallMs();
    }
}

/**
 * Records every request of the routes that have a `config.target`, and adds `GET /record`.
 *
 * @param server - The server.
 * @param recorder - Where to.
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
 * @returns The `x-request-id` header, or undefined.
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
