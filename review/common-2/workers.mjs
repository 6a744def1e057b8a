/**
 * A small stand-in of a worker, as PROTOCOL.md describes it. It registers itself in the store.
 */
import { createServer } from "node:http";
import { listen, readBody } from "./storeAndCloud.mjs";

/** How often a worker writes its entry, in milliseconds. */
const heartbeatMs = 1_200;

/** One worker; a handler of its own answers the requests that name it as their target. */
export class Worker {
    /**
     * @param id - Its identifier.
     * @param service - Its service.
     * @param zone - Its zone.
     * @param handler - Answers a request.
     */
    constructor(id, service, zone, handler) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.handler = handler;
        this.received = [];
        this.sequence = 0;
        this.bornMs = Date.now();
        this.server = createServer((request, response) => void this.serve(request, response));
    }

    async open(platform) {
        this.address = await listen(this.server);
        const beat = () => {
            this.sequence += 1;
            platform.put("servers", this.id, {
                Service: this.service,
                Address: this.address,
                Zone: this.zone,
                Version: "v1",
                Slots: 8,
                State: "ready",
                ColdRemainingMs: 0,
                Sequence: this.sequence,
                born: this.bornMs,
            });
        };
        beat();
        this.timer = setInterval(beat, heartbeatMs);
    }

    close() {
        clearInterval(this.timer);
        this.server.close();
        this.server.closeAllConnections();
    }

    async serve(request, response) {
        const body = await readBody(request);
        const requestId = request.headers["x-request-id"];
        if (request.headers["x-target-instance"] !== this.id) {
            response.writeHead(421, { "x-request-id": requestId, "x-instance-id": this.id }).end();
            return;
        }
        const call = { requestId, request, response, body, atMs: performance.now() };
        call.headers = {
            "x-request-id": requestId,
            "x-server-signature": `${this.id}.1`,
            "x-instance-load": "1,0,8",
        };
        this.received.push(call);
        await this.handler(call);
    }
}

/** Answers with a short body. */
export function answerAtOnce({ response, headers }) {
    const body = "done";
    response.writeHead(200, { ...headers, "content-length": body.length }).end(body);
}

/** Says that the request has not run, because the worker is full. */
export function refuseAsFull({ response, requestId }) {
    response.writeHead(503, { "x-request-id": requestId, "x-not-executed": "1", "content-length": 0 }).end();
}
