/**
 * Identifies requests that are alike: the same caller, path and body, whatever their identifiers.
 *
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import type { GatewayRequest } from "./gatewayRequest.js";

/** Length of a digest, in characters of base64. */
const digestLength = 16;

/**
 * Computes the digest of a request. It reads the whole body, so it is only taken where it is needed.
 *
 * @param request - The request.
 * @returns The digest.
 */
export function computeRequestDigest({ head, body, customer }: GatewayRequest): string {
    const caller = JSON.stringify([head.method, head.host, head.path, customer?.name ?? ""]);
    return createHash("sha1")
        .update(caller)
        .update(body ?? "")
        .digest("base64url")
        .slice(0, digestLength);
}
