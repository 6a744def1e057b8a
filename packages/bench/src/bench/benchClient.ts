/**
 * HTTP client of the benchmark.
 *
 * @packageDocumentation
 */
import { connect, type Socket } from "node:net";
import { once } from "node:events";
import { Client } from "undici";
import { benchSecret, type BenchPlan } from "./benchOptions.js";

const path = "/v1/chat/completions";

/**
 * Builds the body of a chat completion request.
 *
 * @param plan - Tokens and interval of the stream; undefined for a non-streaming request, which the backend server answers immediately.
 * @param words - Prompt length, in words.
 * @returns JSON text.
 */
export function buildBenchBody(plan: BenchPlan | undefined, words: number): string {
    const messages = [{ role: "user", content: "word ".repeat(words) }];
    return JSON.stringify({ model: "bench", messages, stream: plan !== undefined, bench: plan });
}

/** Sends requests over one connection. */
export class BenchClient {
    private readonly client: Client;

    /** @param address - IP address and port of the node or of a backend server. */
    constructor(address: string) {
        this.client = new Client(`http://${address}`, { headersTimeout: 0, bodyTimeout: 0 });
    }

    /**
     * Sends a non-streaming request and reads the complete response.
     *
     * @param body - Body from {@link buildBenchBody}.
     * @returns Duration of the request, in milliseconds.
     * @throws Error when the status is not 200.
     */
    async sendNonStreaming(body: string): Promise<number> {
        const startMs = performance.now();
        const answer = await this.client.request({ method: "POST", path, headers: buildHeaders(), body });
        await answer.body.text();
        if (answer.statusCode !== 200) {
            throw new Error(`expected status 200 from ${path}, got ${answer.statusCode}`);
        }
        return performance.now() - startMs;
    }

    /**
     * Sends a streaming request and reads the response to its end.
     *
     * @param body - Body from {@link buildBenchBody}.
     * @returns Time to the first chunk and the gaps between chunks, in milliseconds.
     */
    async sendStream(
        body: string,
    ): Promise<{ readonly firstMs: number; readonly gapsMs: readonly number[] }> {
        const startMs = performance.now();
        const answer = await this.client.request({ method: "POST", path, headers: buildHeaders(), body });
        const timesMs: number[] = [];
        for await (const chunk of answer.body as AsyncIterable<Buffer>) {
            if (chunk.length > 0) {
                timesMs.push(performance.now());
            }
        }
        const gapsMs = timesMs.slice(1).map((timeMs, index) => timeMs - (timesMs[index] ?? timeMs));
        return { firstMs: (timesMs[0] ?? startMs) - startMs, gapsMs };
    }

    /** Closes the connection. */
    async close(): Promise<void> {
        await this.client.destroy();
    }
}

/**
 * Opens a TCP connection and sends one request without an HTTP client, so that the response is read with little
 * overhead.
 *
 * @param address - IP address and port of the node.
 * @param request - Body of a streaming request; undefined to send one health check, which leaves the connection idle.
 * @param onData - Receives the raw bytes of the response.
 * @returns The socket.
 */
export async function openRawConnection(
    address: string,
    request: string | undefined,
    onData: (chunk: Buffer) => void,
): Promise<Socket> {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    await once(socket, "connect");
    socket.on("data", onData);
    socket.on("error", () => {});
    const head = `host: ${address}\r\nauthorization: Bearer ${benchSecret}\r\n`;
    socket.write(
        request === undefined
            ? `GET /healthz HTTP/1.1\r\n${head}\r\n`
            : `POST ${path} HTTP/1.1\r\n${head}content-length: ${Buffer.byteLength(request)}\r\n\r\n${request}`,
    );
    return socket;
}

function buildHeaders(): Record<string, string> {
    return { authorization: `Bearer ${benchSecret}`, "content-type": "application/json" };
}
