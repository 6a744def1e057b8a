/**
 * Credentials that a caller presents.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import { ErrorKind, RouterError } from "@pimentocleat/types";

const authorizationPattern = /^Bearer +(\S+) *$/i;
const minimumSecretLength = 8;
const credentialHeaders = ["api-key", "x-goog-api-key", "x-auth-token", "proxy-authorization"] as const;

/**
 * Reads the key of a request.
 *
 * @param headers - Headers of the caller.
 * @returns The secret, or undefined when none was sent.
 * @throws RouterError when two different keys were sent.
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
 * Lists every credential text of a request, for the check that none of it is forwarded.
 *
 * @param headers - Headers of the caller.
 * @param key - The key that was read.
 * @returns The texts; too short ones are left out, as they would match by chance.
 */
export function listSecrets(headers: IncomingHttpHeaders, key: string | undefined): readonly string[] {
    const texts = credentialHeaders.map((name) => headers[name]);
    return [key, ...texts].filter(
        (text): text is string => typeof text === "string" && text.length >= minimumSecretLength,
    );
}
