/**
 * Reads the credentials of a caller's request.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import { ErrorKind, RouterError } from "@pimentocleat/types";

const authorizationPattern = /^Bearer +(\S+) *$/i;
/** Shorter values are not searched for, because they would match unrelated text by chance. */
const minimumSecretLength = 8;
const credentialHeaders = ["api-key", "x-goog-api-key", "x-auth-token", "proxy-authorization"] as const;

/**
 * Reads the API key from `Authorization` or `x-api-key`.
 *
 * @param headers - Headers of the caller's request.
 * @returns The key's secret, or undefined when none was sent.
 * @throws RouterError when the two headers carry different keys.
 */
export function readPresentedKey(headers: IncomingHttpHeaders): string | undefined {
    const bearer = authorizationPattern.exec(headers.authorization ?? "")?.[1];
    const header = headers["x-api-key"];
    const apiKey = typeof header === "string" && header !== "" ? header : undefined;
    if (bearer !== undefined && apiKey !== undefined && bearer !== apiKey) {
        throw new RouterError(
            ErrorKind.InvalidKey,
            "Authorization and x-api-key carry different keys; send one.",
        );
    }
    return bearer ?? apiKey;
}

/**
 * Lists all credential values of a request, so that the router can check that none of them is forwarded.
 *
 * @param headers - Headers of the caller's request.
 * @param key - Secret of the API key, as read by {@link readPresentedKey}.
 * @returns The values of at least {@link minimumSecretLength} characters.
 */
export function listSecrets(headers: IncomingHttpHeaders, key: string | undefined): readonly string[] {
    const headerValues = credentialHeaders.map((name) => headers[name]);
    return [key, ...headerValues].filter(
        (value): value is string => typeof value === "string" && value.length >= minimumSecretLength,
    );
}
