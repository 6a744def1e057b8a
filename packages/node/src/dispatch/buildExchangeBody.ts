/**
 * Builds the body of a try.
 *
 * @packageDocumentation
 */
import type { ResumePoint } from "../streams/streamRelay.js";

/**
 * Builds the body of a try: the caller's bytes, or these with the point to continue from.
 *
 * @param body - The caller's body.
 * @param resumePoint - What the caller has already; undefined for a first start.
 * @returns The body to send.
 */
export function buildExchangeBody(
    body: Buffer | undefined,
    resumePoint: ResumePoint | undefined,
): Buffer | undefined {
    if (body === undefined || resumePoint === undefined) {
        return body;
    }
    const fields = JSON.parse(body.toString("utf8")) as Record<string, unknown>;
    return Buffer.from(JSON.stringify({ ...fields, resume: resumePoint }));
}
