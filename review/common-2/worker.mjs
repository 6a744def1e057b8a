// A small stand-in for a worker, as the pages describe it: it echoes the id, signs its answers and counts what it runs.
import { createServer } from "node:http";

export class Worker {
    /** Requests that began to run, in their order. */
    runs = [];
    sockets = new Set();

    /**
     * @param id - Identifier under which it registers.
     * @param handle - Answers a request: (request, body, response, worker).
     */
    constructor(id, handle) {
        this.id = id;
        this.handle = handle;
    }

    async open(port = 0) {
        this.server = createServer((request, response) => void this.receive(request, response));
        this.server.keepAliveTimeout = 60_000;
        this.server.on("connection", (socket) => {
            this.sockets.add(socket);
            socket.on("error", () => undefined).once("close", () => this.sockets.delete(socket));
        });
        await new Promise((resolve) => this.server.listen(port, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
        return this;
    }

    /** Crashes: all channels are reset, new ones are refused. */
    crash() {
        this.server.close();
        this.sockets.forEach((socket) => socket.resetAndDestroy());
    }

    close() {
        this.server.closeAllConnections();
        this.server.close();
    }

    async receive(request, response) {
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        } catch {
            return;
        }
        if (request.headers["x-target-instance"] !== this.id) {
            response.writeHead(421, { "x-request-id": request.headers["x-request-id"] }).end();
            return;
        }
        const body = Buffer.concat(chunks);
        this.runs.push({
            atMs: performance.now(),
            requestId: request.headers["x-request-id"],
            method: request.method,
            path: request.url,
            headers: request.headers,
            bodyLength: body.length,
            body,
        });
        await this.handle(request, body, response, this);
    }
}

/** Headers of a worker's own answer. */
export function signedHeaders(request, worker, headers = {}) {
    return {
        "x-request-id": request.headers["x-request-id"],
        "x-server-signature": `s.${worker.id}`,
        "x-instance-load": "1,0,64",
        ...headers,
    };
}
