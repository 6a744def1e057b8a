/**
 * Collects a response and checks that it is complete before it is relayed to the caller.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import { ByteCollector } from "@pimentocleat/types";
import type { CompleteAnswer } from "../dispatch/routedRequest.js";
import { selectAnswerHeaders } from "./forwardingFilter.js";

const firstServerErrorStatus = 500;
/** The caller's key is not forwarded, so this status means that the server refused the pool's credential. */
const unauthorizedStatus = 401;

/** Collects one response. */
export class AnswerCollector {
    private status = 0;
    private headers: Record<string, string> = {};
    private readonly chunks = new ByteCollector();
    private body: Buffer | undefined;
    /** Whether the response marks the end of its body; otherwise it ends with the connection. */
    private isFramed = false;
    private isJson = false;
    private parsedJson: unknown;

    /** @param maximumBytes - Maximum size of the body, in bytes. */
    constructor(private readonly maximumBytes: number) {}

    /** The JSON body as parsed by {@link AnswerCollector.checkBody}; undefined for other content. */
    get parsedBody(): unknown {
        return this.parsedJson;
    }

    /**
     * Stores status and headers.
     *
     * @param status - Status code.
     * @param headers - Headers of the backend server.
     * @returns Why the status counts as a failure, or undefined.
     */
    setHead(status: number, headers: IncomingHttpHeaders): string | undefined {
        if (status >= firstServerErrorStatus || status === unauthorizedStatus) {
            return `status ${status}`;
        }
        this.status = status;
        this.headers = selectAnswerHeaders(headers);
        this.isJson = /^application\/([a-z.+-]+\+)?json\b/i.test(headers["content-type"] ?? "");
        this.isFramed =
            headers["content-length"] !== undefined ||
            headers["transfer-encoding"] !== undefined ||
            status === 204 ||
            status === 304;
        return undefined;
    }

    /**
     * Appends a chunk of the body.
     *
     * @param chunk - Bytes of the body.
     * @returns Why the body is rejected, or undefined.
     */
    addChunk(chunk: Buffer): string | undefined {
        this.chunks.append(chunk);
        if (this.chunks.length > this.maximumBytes) {
            return "the answer is too large";
        }
        return undefined;
    }

    /**
     * Checks that the body is complete. The HTTP client has already checked a stated length. A body that is
     * neither JSON nor framed is refused, because its end can't be distinguished from a lost connection.
     *
     * @returns A description of the fault, or undefined.
     */
    checkBody(): string | undefined {
        if (this.isJson && this.chunks.length > 0) {
            try {
                this.parsedJson = JSON.parse(this.readBody().toString("utf8"));
                return undefined;
            } catch {
                return "the answer is not valid JSON";
            }
        }
        return this.isFramed ? undefined : "the end of the answer can't be told from a cut connection";
    }

    /** @returns The response for the caller. */
    buildAnswer(): CompleteAnswer {
        return { status: this.status, headers: this.headers, body: this.readBody(), replayed: false };
    }

    private readBody(): Buffer {
        this.body ??= this.chunks.takeBytes();
        return this.body;
    }
}
