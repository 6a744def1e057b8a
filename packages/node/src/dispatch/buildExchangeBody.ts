/**
 * Builds the request body of an attempt.
 *
 * @packageDocumentation
 */
import type { ResumePoint } from "../streams/streamRelay.js";

/**
 * Builds the request body of an attempt: the caller's body, extended by the point to resume from when a
 * stream continues.
 *
 * @param body - The caller's body.
 * @param resumePoint - Text and tokens that the caller already has; undefined when nothing was streamed.
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
