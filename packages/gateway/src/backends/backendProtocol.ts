/**
 * The protocol between the gateway and a backend server: request headers and the meaning of a response.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import type { GatewayRequest } from "../dispatch/gatewayRequest.js";
import type { ServerNotice } from "./serverNotice.js";

/** Request data from which the headers to a backend server are built. */
export interface BackendCall {
    readonly request: GatewayRequest;
    readonly serverId: string;
    /** Time until the caller's deadline, in milliseconds. */
    readonly remainingMs: number;
    /** Identifier of the last event that the caller received; undefined at the start of a stream. */
    readonly lastEventId: string | undefined;
}

/** What a response must fit. */
export interface SentRequest {
    readonly head: { readonly requestId: string };
}

/** Meaning of a response head. */
export type AnswerMeaning =
    /** The server's response to this request. */
    | "answer"
    /**
     * The server's response to this request, with a status that tells callers that the request did not run and may be sent
     * again. The server does not state that, so the request may have run.
     */
    | "unconfirmedRefusal"
    /** The server did not run the request; the response names it. */
    | "notRun"
    /** A different server now uses the address; it did not run the request, which the response names. */
    | "otherServer"
    /** The response names another request or none, or fails verification; the request may have run. */
    | "mismatched";

/**
 * Checks whether the server to which a request was sent has responded to it.
 *
 * @param meaning - Meaning of the response head.
 * @returns Whether what the head says of its server holds for that server.
 */
export function isOwnResponse(meaning: AnswerMeaning): boolean {
    return meaning !== "otherServer" && meaning !== "mismatched";
}

/** Load that a server reports in the headers of a response. */
export interface ResponseHeaderLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes on the server's host, as a multiple of the usual time; undefined when not reported. */
    readonly pace?: number | undefined;
}

/** Formats requests to backend servers and interprets their responses. */
export interface BackendProtocol {
    /**
     * Builds the headers of a request.
     *
     * @param call - The request, its target server and its remaining time.
     * @returns Alternating header names and values.
     */
    buildHeaders(call: BackendCall): string[];
    /**
     * Classifies a response by its head.
     *
     * @param status - Status code of the response.
     * @param headers - Headers of the response.
     * @param request - The request that was sent.
     * @returns The meaning.
     */
    selectMeaning(status: number, headers: IncomingHttpHeaders, request: SentRequest): AnswerMeaning;
    /**
     * Reads what the server says of itself.
     *
     * @param status - Status code of the response.
     * @param headers - Headers of the response.
     * @returns The notice.
     */
    readNotice(status: number, headers: IncomingHttpHeaders): ServerNotice;
    /**
     * Reads the reported load from response headers.
     *
     * @param headers - Headers of the response.
     * @returns The load, or undefined when the response reports none.
     */
    readLoad(headers: IncomingHttpHeaders): ResponseHeaderLoad | undefined;
    /**
     * Selects the response headers that are forwarded to the caller.
     *
     * @param headers - Headers of the response.
     * @returns The headers to forward.
     */
    selectAnswerHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]>;
}
