/**
 * What becomes of one attempt to run a request on one backend server.
 *
 * @packageDocumentation
 */
import type { RelayObstacle } from "@pimentocleat/policy";
import type { AnswerHeaders } from "../callers/callerAnswer.js";

/** A complete response of a backend server. */
export interface CompleteBackendAnswer {
    readonly status: number;
    readonly headers: AnswerHeaders;
    readonly body: Buffer;
}

/** An attempt that failed after the request may have run. */
export interface LostAttempt {
    readonly type: "lost";
    readonly reason: string;
    /** Whether bytes of the response were forwarded to the caller. */
    readonly streamed: boolean;
    /** Whether the connection ended, rather than that what arrived on it was no answer to the request. */
    readonly isServerLost: boolean;
    /** Time since the first data of the response, in milliseconds; undefined when none had arrived. */
    readonly runningMs: number | undefined;
}

/** Outcome of an attempt. */
export type AttemptResult =
    /** A complete response that was not yet forwarded. */
    | { readonly type: "answer"; readonly answer: CompleteBackendAnswer }
    /** A response that was streamed to the caller to its end. */
    | { readonly type: "streamed" }
    /** The server reported that it did not run the request. */
    | { readonly type: "notRun"; readonly reason: string }
    /** No byte reached a server. The obstacle tells why a node did not relay the request; undefined on a direct path. */
    | { readonly type: "notSent"; readonly reason: string; readonly obstacle: RelayObstacle | undefined }
    /** The attempt failed after the request may have run. */
    | LostAttempt
    /** The server sent no data, or no event, for too long. */
    | { readonly type: "silent" }
    /** The caller disconnected, or the request's deadline passed. */
    | { readonly type: "cancelled" };
