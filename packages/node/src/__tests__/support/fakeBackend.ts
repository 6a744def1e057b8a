/** A backend server under the test's control; it records every byte that it receives. */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** A request that the backend received. */
export interface ReceivedRequest {
    readonly message: IncomingMessage;
    readonly attemptId: string;
    readonly body: string;
    readonly response: ServerResponse;
    readonly socket: Socket;
}

/** Answers a request; the number counts the requests from 1. */
export type Behavior = (request: ReceivedRequest, count: number) => void;

/** The backend. */
export class FakeBackend {
    readonly requests: ReceivedRequest[] = [];
    /** Every byte received on any connection. */
    received = "";
    behavior: Behavior = answerJson({ ok: true });
    /** Answers of load and cache polls by path; anything else gets 404. */
    readonly pollAnswers = new Map<string, unknown>();
    readonly polls: string[] = [];
    /** IP address and port; also after the stop. */
    address = "";
    private readonly pollSockets = new Set<Socket>();
    private readonly closeListeners: (() => void)[] = [];
    private readonly server = createServer((message, response) => this.handle(message, response));

    async start(): Promise<this> {
        this.server.on("connection", (socket) => {
            socket.on("data", (chunk) => (this.received += chunk.toString("latin1")));
            socket.on("error", () => {});
            socket.on("close", () => {
                if (!this.pollSockets.has(socket)) {
                    this.closeListeners.splice(0).forEach((listener) => listener());
                }
            });
        });
        await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
        return this;
    }

    /** Resolves when the next connection closes. */
    waitForClose(): Promise<void> {
        return new Promise((resolve) => this.closeListeners.push(resolve));
    }

    async stop(): Promise<void> {
        this.server.closeAllConnections();
        await new Promise((resolve) => this.server.close(resolve));
    }

    private handle(message: IncomingMessage, response: ServerResponse): void {
        if (/^\/(load|cache-events)\b/.test(message.url ?? "")) {
            this.servePoll(message, response);
            return;
        }
        const chunks: Buffer[] = [];
        message.on("error", () => {});
        message.on("data", (chunk: Buffer) => chunks.push(chunk));
        message.on("end", () => {
            const request: ReceivedRequest = {
                message,
                attemptId: String(message.headers["x-request-id"]),
                body: Buffer.concat(chunks).toString(),
                response,
                socket: message.socket,
            };
            this.requests.push(request);
            this.behavior(request, this.requests.length);
        });
    }

    private servePoll(message: IncomingMessage, response: ServerResponse): void {
        this.pollSockets.add(message.socket);
        const url = message.url ?? "";
        this.polls.push(url);
        const answer = this.pollAnswers.get(url);
        response.writeHead(answer === undefined ? 404 : 200, { "content-type": "application/json" });
        response.end(JSON.stringify(answer ?? {}));
    }
}

/** Answers JSON with the echo. */
export function answerJson(body: unknown, status = 200, headers: Record<string, string> = {}): Behavior {
    return ({ response, attemptId: wireId }) => {
        const text = JSON.stringify(body);
        const length = String(Buffer.byteLength(text));
        response.writeHead(status, {
            "x-request-id": wireId,
            "content-type": "application/json",
            "content-length": length,
            ...headers,
        });
        response.end(text);
    };
}

/** Formats a chat event with one token. */
export function formatToken(text: string, finishReason?: string): string {
    const choice = { index: 0, delta: { content: text }, finish_reason: finishReason };
    return `data: ${JSON.stringify({ choices: [choice] })}\n\n`;
}

/** The words that {@link streamWords} sends. */
export function listWords(count: number): string[] {
    return Array.from({ length: count }, (...[, index]) => ` w${index}"é`);
}

export interface StreamPlan {
    readonly words: readonly string[];
    /** Cut the connection after this many words; the next one is sent in half. */
    readonly closeAfterWords?: number;
    /** Called after each word. */
    readonly pause?: (index: number) => Promise<void>;
    readonly terminator?: string;
    readonly finishEvent?: string;
}

/** Streams words from the resume point of the request on, as the engines' protocol says. */
export function streamWords(plan: StreamPlan): Behavior {
    return async ({ response, attemptId: wireId, body, socket }) => {
        const resume = (JSON.parse(body) as { resume?: { text: string; tokens: number } }).resume;
        const first = resume?.tokens ?? 0;
        response.writeHead(200, { "x-request-id": wireId, "content-type": "text/event-stream" });
        for (const [index, word] of plan.words.entries()) {
            if (index < first) {
                continue;
            }
            const event = formatToken(word);
            if (index === plan.closeAfterWords) {
                response.write(event.slice(0, event.length / 2), () => socket.destroy());
                return;
            }
            response.write(event);
            await plan.pause?.(index);
        }
        response.write(plan.finishEvent ?? formatToken("", "stop"));
        response.end(plan.terminator ?? "data: [DONE]\n\n");
    };
}
