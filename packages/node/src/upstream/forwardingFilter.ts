/**
 * What of a caller's request a backend server may see. Everything is left out that is not listed,
 * so that a key never passes, whatever its spelling.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";

const forwardedRequestHeaders = [
    "accept",
    "accept-language",
    "content-type",
    "idempotency-key",
    "if-match",
    "if-none-match",
    "user-agent",
    "traceparent",
] as const;

const forwardedAnswerHeaders = [
    "cache-control",
    "content-disposition",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "location",
] as const;

const credentialParameterPattern = /key|token|secret|passw|credential|auth|signature|session|jwt|bearer/i;

/**
 * Selects the request headers that are forwarded.
 *
 * @param headers - Headers of the caller.
 * @param secrets - Credentials of the caller; a header that contains one is left out.
 * @returns The headers for the backend server.
 */
export function selectRequestHeaders(
    headers: IncomingHttpHeaders,
    secrets: readonly string[],
): Record<string, string> {
    const selected: Record<string, string> = {};
    for (const name of forwardedRequestHeaders) {
        const value = headers[name];
        if (typeof value === "string" && !hasSecret(value, secrets)) {
            selected[name] = value;
        }
    }
    return selected;
}

/**
 * Selects the answer headers that are relayed.
 *
 * @param headers - Headers of the backend server.
 * @returns The headers for the caller.
 */
export function selectAnswerHeaders(headers: IncomingHttpHeaders): Record<string, string> {
    const selected: Record<string, string> = {};
    for (const name of forwardedAnswerHeaders) {
        const value = headers[name];
        if (typeof value === "string") {
            selected[name] = value;
        }
    }
    return selected;
}

/**
 * Removes query parameters that carry credentials, by their name or by their value.
 *
 * @param query - Query without its question mark.
 * @param secrets - Credentials of the caller.
 * @returns The query that may be forwarded.
 */
export function selectQuery(query: string, secrets: readonly string[]): string {
    return query
        .split("&")
        .filter((parameter) => isForwardedParameter(parameter, secrets))
        .join("&");
}

/**
 * Whether a text contains a credential, also percent-encoded.
 *
 * @param text - The text.
 * @param secrets - The credentials.
 * @returns True when one of them occurs.
 */
export function hasSecret(text: string, secrets: readonly string[]): boolean {
    const decoded = decodeText(text);
    return secrets.some((secret) => text.includes(secret) || decoded.includes(secret));
}

/**
 * Whether a body is compressed or encoded otherwise.
 *
 * @param headers - Headers of the request or the answer.
 * @returns True unless the body is sent as it is.
 */
export function hasContentEncoding(headers: IncomingHttpHeaders): boolean {
    const encoding = headers["content-encoding"];
    return encoding !== undefined && encoding !== "" && encoding.toLowerCase() !== "identity";
}

function isForwardedParameter(parameter: string, secrets: readonly string[]): boolean {
    const name = decodeText(parameter.split("=", 1)[0] ?? "");
    return parameter !== "" && !credentialParameterPattern.test(name) && !hasSecret(parameter, secrets);
}

function decodeText(text: string): string {
    if (!text.includes("%") && !text.includes("+")) {
        return text;
    }
    try {
        return decodeURIComponent(text.replaceAll("+", " "));
    } catch {
        return text;
    }
}
