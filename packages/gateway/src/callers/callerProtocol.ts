/**
 * The protocol between callers and the gateway.
 *
 * @packageDocumentation
 */
import type { IncomingMessage } from "node:http";
import type { RouterError } from "@pimentocleat/types";
import type { CallerHead } from "../dispatch/gatewayRequest.js";

/** The response that reports a refusal to the caller. */
export interface CallerRefusal {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
}

/** Parses requests of callers and formats refusals. */
export interface CallerProtocol {
    /**
     * Reads the head of a request.
     *
     * @param message - The incoming HTTP request.
     * @param path - Path and query of the request, unchanged.
     * @returns The head.
     * @throws RouterError when the head is not valid.
     */
    readHead(message: IncomingMessage, path: string): CallerHead;
    /**
     * Formats a refusal.
     *
     * @param error - Reason of the refusal.
     * @param requestId - Identifier of the request; undefined when it could not be read.
     * @param remainingMs - Time until the caller's deadline, in milliseconds.
     * @returns The response.
     */
    formatRefusal(error: RouterError, requestId: string | undefined, remainingMs: number): CallerRefusal;
}
