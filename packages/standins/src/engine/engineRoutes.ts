/**
 * HTTP routes of the model engine stand-in; docs/interfaces/engine.md describes the protocol.
 *
 * @packageDocumentation
 */
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { z } from "zod";
import type { FaultTarget } from "../faults/faultSwitches.js";
import { parseCompletionRequest, type AnswerFormat } from "./completionRequest.js";
import type { Engine } from "./engine.js";
import { engineOrderSchema } from "./engineOrders.js";
import { buildKvExport, kvExportSchema } from "./kvExport.js";

const requestIdSchema = z.strictObject({ requestId: z.string().min(1) });
const eventQuerySchema = z.object({ after: z.coerce.number().int().nonnegative().default(0) });

/**
 * Registers the completion, cache and control routes.
 *
 * @param server - Server to add the routes to.
 * @param engine - Engine that serves them.
 */
export function registerEngineRoutes(server: FastifyInstance, engine: Engine): void {
    registerCompletionRoute(server, engine, "chat", "/v1/chat/completions");
    registerCompletionRoute(server, engine, "text", "/v1/completions");
    server.get("/v1/models", { config: buildRouteConfig("models") }, async () => ({
        object: "list",
        data: engine.orders.listServed().map((id) => ({ id, object: "model", owned_by: "stand-in" })),
    }));
    registerCacheRoutes(server, engine);
    registerControlRoutes(server, engine);
}

function registerCompletionRoute(
    server: FastifyInstance,
    engine: Engine,
    format: AnswerFormat,
    path: string,
): void {
    server.post(path, { config: buildRouteConfig("completion") }, async (request, reply) => {
        const completion = parseCompletionRequest(format, request.body);
        if (!engine.orders.listServed().includes(completion.model)) {
            return sendNotExecuted(reply, 404, `model ${completion.model} is not loaded`);
        }
        if (engine.scheduler.isFull()) {
            return sendNotExecuted(reply, 503, "the waiting queue is full");
        }
        engine.startCompletion(completion, request, reply);
        return reply;
    });
}

function registerCacheRoutes(server: FastifyInstance, engine: Engine): void {
    server.get("/cache-events", { config: buildRouteConfig("cacheEvents") }, async (request) =>
        engine.events.readEvents(eventQuerySchema.parse(request.query).after),
    );
    server.get("/kv/:requestId", { config: buildRouteConfig("kvExport") }, async (request, reply) => {
        const { requestId } = requestIdSchema.parse(request.params);
        return buildKvExport(engine, requestId) ?? sendNotExecuted(reply, 404, "no such request runs here");
    });
    server.post("/kv", { config: buildRouteConfig("kvImport") }, async (request) => {
        const { blocks } = kvExportSchema.parse(request.body);
        engine.cache.storeBlocks(blocks);
        return { imported: true };
    });
}

function registerControlRoutes(server: FastifyInstance, engine: Engine): void {
    server.get("/load", { config: buildRouteConfig("load") }, async () => {
        const { measuredAtMs, value } = engine.readLoad();
        return { ...value, measuredAtMs };
    });
    server.post("/cancel", { config: buildRouteConfig("cancel") }, async (request) => {
        const { requestId } = requestIdSchema.parse(request.body);
        return { cancelled: cancelRequest(engine, requestId) };
    });
    server.post("/orders", { config: buildRouteConfig("order") }, async (request: FastifyRequest) =>
        engine.orders.handleOrder(engineOrderSchema.parse(request.body)),
    );
    server.get("/state", async () => ({
        state: engine.orders.readState(),
        served: engine.orders.listServed(),
        orders: engine.orders.listReceived(),
    }));
}

function cancelRequest(engine: Engine, requestId: string): boolean {
    const sequence = engine.scheduler.findSequence(requestId);
    if (sequence === undefined) {
        return false;
    }
    engine.scheduler.cancelSequence(sequence, "cancelled");
    return true;
}

function buildRouteConfig(call: string): { target: FaultTarget } {
    return { target: { service: "engine", call } };
}

function sendNotExecuted(reply: FastifyReply, status: number, message: string): FastifyReply {
    return reply.code(status).header("x-executed", "no").send({ message, executed: "no" });
}
