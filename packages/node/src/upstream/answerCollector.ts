/**
 * Collects an answer and checks that it is whole before anyone sees it.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import type { CompleteAnswer } from "../dispatch/routedRequest.js";
import { selectAnswerHeaders } from "./forwardingFilter.js";

const firstServerErrorStatus = 500;
/** The caller's key is not forwarded, so this status is about the pool's credential. */
const unauthorizedStatus = 401;

/** Collects one answer. */
export class AnswerCollector {
    private status = 0;
    private headers: Record<string, string> = {};
    private readonly chunks: Buffer[] = [];
    private bytes = 0;
    private lengthKnown = false;
    private json = false;
    private parsed: unknown;

    /** @param maximumBytes - Largest accepted body, in bytes. */
    constructor(private readonly maximumBytes: number) {}

    /** The body as JSON; undefined for other content. */
    get parsedBody(): unknown {
        return this.parsed;
    }

    /**
     * Takes status and headers.
     *
     * @param status - Status code.
     * @param headers - Headers of the backend server.
     * @returns Why the status is a failure, or undefined.
     */
    setHead(status: number, headers: IncomingHttpHeaders): string | undefined {
        if (status >= firstServerErrorStatus || status === unauthorizedStatus) {
            return `status ${status}`;
        }
        this.status = status;
        this.headers = selectAnswerHeaders(headers);
        this.json = /^application\/([a-z.+-]+\+)?json\b/i.test(headers["content-type"] ?? "");
        this.lengthKnown =
            headers["content-length"] !== undefined ||
            headers["transfer-encoding"] !== undefined ||
            status === 204 ||
            status === 304;
        return undefined;
    }

    /**
     * Takes a part of the body.
     *
     * @param chunk - Bytes.
     * @returns Why the body is refused, or undefined.
     */
    addChunk(chunk: Buffer): string | undefined {
        this.bytes += chunk.length;
        if (this.bytes > this.maximumBytes) {
            return "the answer is too large";
        }
        this.chunks.push(chunk);
        return undefined;
    }

    /**
     * Checks the whole body. The HTTP client has checked a stated length already.
     *
     * @returns What is wrong, or undefined.
     */
    checkBody(): string | undefined {
        if (this.json && this.bytes > 0) {
            try {
                this.parsed = JSON.parse(this.readBody().toString("utf8"));
                return undefined;
            } catch {
                return "the answer is not valid JSON";
            }
        }
        return this.lengthKnown ? undefined : "the end of the answer can't be told from a cut connection";
    }

    /** @returns The answer for the caller. */
    buildAnswer(): CompleteAnswer {
        return { status: this.status, headers: this.headers, body: this.readBody(), replayed: false };
    }

    private readBody(): Buffer {
        const [first] = this.chunks;
        return this.chunks.length === 1 && first !== undefined ? first : Buffer.concat(this.chunks);
    }
}
