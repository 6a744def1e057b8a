/**
 * How a request is spoken to a backend server, and what its answer means.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import type { GatewayRequest } from "../dispatch/gatewayRequest.js";

/** What is sent beside the caller's own bytes. */
export interface BackendCall {
    readonly request: GatewayRequest;
    readonly serverId: string;
    /** Time that the caller still waits, in milliseconds. */
    readonly remainingMs: number;
    /** Identifier of the last event that the caller has; undefined at the start of a stream. */
    readonly lastEventId: string | undefined;
}

/** What the head of an answer means. */
export type AnswerMeaning =
    /** The server's own answer to this request. */
    | "answer"
    /** The server did not run the request. */
    | "notRun"
    /** Another server has the address now; it did not run the request. */
    | "otherServer"
    /** The answer belongs to another request, or cannot be trusted. */
    | "mismatched";

/** Load that a server tells with an answer. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** The protocol of the backend servers. */
export interface BackendProtocol {
    /**
     * Builds the headers of a request, as name and value in turn.
     *
     * @param call - The request and what goes with it.
     * @returns Names and values in turn.
     */
    buildHeaders(call: BackendCall): string[];
    /**
     * Tells what the head of an answer means.
     *
     * @param status - Its status.
     * @param headers - Its headers.
     * @param request - The request that was sent.
     * @returns The meaning.
     */
    selectMeaning(status: number, headers: IncomingHttpHeaders, request: GatewayRequest): AnswerMeaning;
    /**
     * Reads the load from an answer's headers.
     *
     * @param headers - The headers.
     * @returns The load, or undefined when the server tells none.
     */
    readLoad(headers: IncomingHttpHeaders): ReportedLoad | undefined;
    /**
     * Selects what the caller gets of an answer's headers.
     *
     * @param headers - The headers.
     * @returns The headers to pass on.
     */
    selectAnswerHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]>;
}
