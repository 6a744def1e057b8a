/**
 * A stand-in for a requester: one kept channel, one request after the other, no retries.
 */
import { Agent, request as send } from "node:http";
import { randomBytes } from "node:crypto";

export const createId = () => randomBytes(8).toString("hex");

export class Caller {
    agent = new Agent({ keepAlive: true, maxSockets: 1 });

    constructor(port, { key, host }) {
        Object.assign(this, { port, key, host });
    }

    /**
     * Sends a request and reads the whole answer.
     *
     * @returns What the requester sees: `status` 0 when no head came, `whole` when the answer ended as complete.
     */
    call({ method = "GET", path, body, deadlineMs = 4000, headers = {}, onData, signal }) {
        const id = createId();
        const seen = { id, path, status: 0, whole: false, text: "", kept: false, sentMs: Date.now() };
        return new Promise((resolve) => {
            const finish = () => {
                seen.endMs = Date.now();
                clearTimeout(timer);
                resolve(seen);
            };
            const request = send(
                {
                    agent: this.agent,
                    host: "127.0.0.1",
                    port: this.port,
                    method,
                    path,
                    signal,
                    headers: {
                        host: this.host,
                        "x-request-id": id,
                        "x-deadline-ms": String(deadlineMs),
                        authorization: `Bearer ${this.key}`,
                        ...headers,
                    },
                },
                (answer) => {
                    seen.status = answer.statusCode;
                    seen.headers = answer.headers;
                    answer.on("data", (piece) => {
                        seen.text += piece;
                        onData?.(seen, request);
                    });
                    answer.once("end", () => {
                        seen.whole = answer.complete;
                    });
                    answer.once("close", finish).on("error", () => undefined);
                },
            );
            const timer = setTimeout(() => request.destroy(new Error("time limit")), deadlineMs + 1000);
            request.once("socket", () => (seen.kept = request.reusedSocket));
            request.once("error", (error) => {
                seen.error = error.message;
                finish();
            });
            request.end(body);
        });
    }

    close() {
        this.agent.destroy();
    }
}
