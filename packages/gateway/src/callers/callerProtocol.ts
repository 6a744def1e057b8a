/**
 * How callers speak to the node.
 *
 * @packageDocumentation
 */
import type { IncomingMessage } from "node:http";
import type { RouterError } from "@pimentocleat/types";
import type { CallerHead } from "../dispatch/gatewayRequest.js";

/** A refusal as the caller gets it. */
export interface CallerRefusal {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
}

/** The protocol of the callers. */
export interface CallerProtocol {
    /**
     * Reads the head of a request.
     *
     * @param message - The request.
     * @param path - Its path and query, unchanged.
     * @returns The head.
     * @throws RouterError when the head is not a proper request.
     */
    readHead(message: IncomingMessage, path: string): CallerHead;
    /**
     * Formats a refusal.
     *
     * @param error - Why.
     * @param requestId - Identifier of the request, if it could be read.
     * @param remainingMs - Time that the caller still waits, in milliseconds.
     * @returns The answer.
     */
    formatRefusal(error: RouterError, requestId: string | undefined, remainingMs: number): CallerRefusal;
}
