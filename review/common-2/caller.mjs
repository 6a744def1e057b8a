// A requester: sends requests to a node over channels that it keeps, and notes what came back and when.
import { Agent, request as sendRequest } from "node:http";
import { apiKey, routeHost } from "./deployment.mjs";

let lastNumber = 0;

export class Caller {
    /** @param port - Port of the node. */
    constructor(port) {
        this.port = port;
        this.agent = new Agent({ keepAlive: true });
    }

    /**
     * Sends a request and waits for its end: a whole answer, a closed channel, or the time at which the requester leaves.
     *
     * @param path - Path and query.
     * @param options - method, headers, body, deadlineMs (the value sent) and leaveMs (when the requester leaves).
     * @returns What was seen; `isKept` tells whether the channel had carried a request before.
     */
    send(path, { method = "POST", headers = {}, body = "", deadlineMs = 2500, leaveMs = deadlineMs } = {}) {
        lastNumber += 1;
        const id = `q${lastNumber.toString(36).padStart(6, "0")}`;
        const sentMs = performance.now();
        const seen = {
            id,
            path,
            method,
            sentMs,
            status: undefined,
            text: "",
            end: undefined,
            endMs: undefined,
        };
        return new Promise((resolve) => {
            const finish = (end) => {
                if (seen.end === undefined) {
                    seen.end = end;
                    seen.endMs = performance.now();
                    clearTimeout(timer);
                    resolve(seen);
                }
            };
            const request = sendRequest(
                {
                    host: "127.0.0.1",
                    port: this.port,
                    agent: this.agent,
                    method,
                    path,
                    headers: {
                        host: routeHost,
                        "x-request-id": id,
                        "x-deadline-ms": String(deadlineMs),
                        authorization: `Bearer ${apiKey}`,
                        ...(body.length > 0 && headers["transfer-encoding"] === undefined
                            ? { "content-length": String(body.length) }
                            : {}),
                        ...headers,
                    },
                },
                (response) => {
                    seen.status = response.statusCode;
                    seen.isKept = request.reusedSocket;
                    seen.headers = response.headers;
                    response.on("data", (chunk) => (seen.text += String(chunk)));
                    response.on("end", () => finish(response.complete ? "whole" : "closed"));
                    response.on("error", () => finish("closed"));
                },
            );
            request.on("error", (error) =>
                finish(seen.status === undefined ? `no answer, ${error.code}` : "closed"),
            );
            const timer = setTimeout(() => {
                finish("left");
                request.destroy();
            }, leaveMs);
            request.end(body);
        });
    }

    close() {
        this.agent.destroy();
    }
}
