/**
 * Converts errors to the answers of the caller interface.
 *
 * @packageDocumentation
 */
import { errorAnswers, ErrorKind, RouterError } from "@pimentocleat/types";

const millisecondsPerSecond = 1_000;
const defaultRetryAfterMs = 1_000;

/** An error as status, headers and body. */
export interface FormattedError {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
}

/**
 * Formats an error as an answer.
 *
 * @param error - The error.
 * @param requestId - Identifier of the failed request.
 * @returns Status, headers and JSON body.
 */
export function formatError(error: RouterError, requestId: string): FormattedError {
    const answer = errorAnswers[error.kind];
    const headers: Record<string, string> = {
        "content-type": "application/json; charset=utf-8",
        "x-request-id": requestId,
    };
    if (answer.retryAfter) {
        const retryAfterMs = error.retryAfterMs ?? defaultRetryAfterMs;
        headers["retry-after"] = String(Math.max(1, Math.ceil(retryAfterMs / millisecondsPerSecond)));
    }
    return { status: answer.status, headers, body: formatErrorBody(error, requestId) };
}

/**
 * Formats the JSON body of an error.
 *
 * @param error - The error.
 * @param requestId - Identifier of the failed request.
 * @returns The body as JSON text.
 */
export function formatErrorBody(error: RouterError, requestId: string): string {
    const { kind, message, executed } = error;
    return JSON.stringify({ error: { kind, message, executed, requestId } });
}

const frameworkErrorKinds: Readonly<Record<string, ErrorKind>> = {
    FST_ERR_CTP_BODY_TOO_LARGE: ErrorKind.BodyTooLarge,
    FST_ERR_CTP_INVALID_CONTENT_LENGTH: ErrorKind.MalformedBody,
    FST_ERR_BAD_URL: ErrorKind.InvalidRequest,
    HPE_HEADER_OVERFLOW: ErrorKind.HeadersTooLarge,
    ERR_HTTP_REQUEST_TIMEOUT: ErrorKind.SlowSender,
    ECONNRESET: ErrorKind.MalformedBody,
};

/**
 * Converts anything thrown on the request path to a {@link RouterError}.
 *
 * @param thrown - What was thrown.
 * @returns The error itself, the kind of a known framework error, or `internal`.
 */
export function convertToRouterError(thrown: unknown): RouterError {
    if (thrown instanceof RouterError) {
        return thrown;
    }
    const code = (thrown as { code?: string } | undefined)?.code ?? "";
    const kind = frameworkErrorKinds[code];
    if (kind !== undefined) {
        return new RouterError(kind, undefined, { cause: thrown });
    }
    if (code.startsWith("HPE_")) {
        return new RouterError(ErrorKind.InvalidRequest, "The request is not valid HTTP.", { cause: thrown });
    }
    return new RouterError(ErrorKind.Internal, undefined, { cause: thrown });
}
