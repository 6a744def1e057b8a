/**
 * A stand-in for a worker: it registers in the store, and a handler of the case answers its requests.
 */
import { createServer } from "node:http";

const heartbeatMs = 1200;

export class Worker {
    received = [];
    sequence = 0;
    sockets = new Set();
    server = createServer((request, response) => void this.serve(request, response));

    /**
     * @param store - The store.
     * @param options - `id`, `service`, `zone`, and `handle(request, response, body)`.
     */
    constructor(store, options) {
        this.store = store;
        this.slots = 64;
        this.state = "ready";
        Object.assign(this, options);
        this.server.on("connection", (socket) => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket)).on("error", () => undefined);
        });
    }

    async open() {
        await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
        this.born = Date.now();
        this.beat();
        this.timer = setInterval(() => this.beat(), heartbeatMs);
    }

    beat() {
        this.sequence += 1;
        this.store.put("servers", this.id, {
            Service: this.service,
            Address: this.address,
            Zone: this.zone,
            Version: "v1",
            Slots: this.slots,
            State: this.state,
            ColdRemainingMs: 0,
            born: this.born,
            Sequence: this.sequence,
        });
    }

    /** Loses all channels at once, as a process that ends. */
    crash() {
        for (const socket of this.sockets) {
            socket.resetAndDestroy();
        }
    }

    close() {
        clearInterval(this.timer);
        this.server.close();
        this.server.closeAllConnections();
    }

    async serve(request, response) {
        const pieces = [];
        try {
            for await (const piece of request) {
                pieces.push(piece);
            }
        } catch {
            return;
        }
        const body = Buffer.concat(pieces);
        const id = request.headers["x-request-id"];
        const target = request.headers["x-target-instance"];
        if (target !== undefined && target !== this.id) {
            response.writeHead(421, { "x-request-id": id, "x-instance-id": this.id }).end();
            return;
        }
        const run = {
            id,
            worker: this.id,
            atMs: Date.now(),
            headers: request.headers,
            closedAtMs: undefined,
        };
        this.received.push(run);
        response.once("close", () => (run.closedAtMs = Date.now()));
        this.handle(request, response, body, run);
    }

    /** Headers of an answer. */
    headers(request, others = {}) {
        return {
            "x-request-id": request.headers["x-request-id"],
            "x-server-signature": `sig.${this.id}`,
            "x-instance-load": `1,0,${this.slots}`,
            ...others,
        };
    }
}
