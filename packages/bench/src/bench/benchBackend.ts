/**
 * Backend server of the benchmark: answers immediately, or streams tokens at a fixed interval. It does as
 * little work as possible, so that it does not limit the load.
 *
 * @packageDocumentation
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { BenchPlan } from "./benchOptions.js";
import { startListening } from "./benchProcess.js";

const usage = `"usage":{"prompt_tokens":8,"completion_tokens":1}`;
const completionBody = `{"choices":[{"index":0,"message":{"role":"assistant","content":"word"},"finish_reason":"stop"}],${usage}}`;
const tokenEvent = Buffer.from(
    `data: {"id":"bench","object":"chat.completion.chunk","created":1,"model":"bench","choices":[{"index":0,"delta":{"content":" word"},"finish_reason":null}]}\n\n`,
);
const finalEvents = `data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}\n\ndata: [DONE]\n\n`;

interface BenchBody {
    readonly stream?: boolean;
    readonly bench?: BenchPlan;
}

/** Runs the backend server until the parent process stops it. */
export async function runBenchBackend(): Promise<void> {
    const server = createServer((request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => serveRequest(request, response, Buffer.concat(chunks).toString()));
    });
    server.keepAliveTimeout = 60_000;
    await startListening(server);
}

function serveRequest(request: IncomingMessage, response: ServerResponse, text: string): void {
    const echo = { "x-request-id": request.headers["x-request-id"] ?? "" };
    if (request.method === "GET") {
        const load = `{"running":0,"waiting":0,"slots":100000,"events":[],"lastSequence":0}`;
        response.writeHead(200, { ...echo, "content-type": "application/json" }).end(load);
        return;
    }
    const body = JSON.parse(text) as BenchBody;
    if (body.stream && body.bench !== undefined) {
        response.writeHead(200, { ...echo, "content-type": "text/event-stream" });
        sendTokens(response, body.bench);
        return;
    }
    const headers = { ...echo, "content-type": "application/json", "content-length": completionBody.length };
    response.writeHead(200, headers).end(completionBody);
}

function sendTokens(response: ServerResponse, plan: BenchPlan): void {
    let sent = 0;
    const timer = setInterval(() => {
        if (sent === plan.tokens) {
            clearInterval(timer);
            response.end(finalEvents);
            return;
        }
        sent += 1;
        response.write(tokenEvent);
    }, plan.intervalMs);
    response.on("close", () => clearInterval(timer));
}
