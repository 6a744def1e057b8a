/**
 * Routes of the model engine stand-in; see docs/interfaces/engine.md.
 *
 * @packageDocumentation
 */
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { z } from "zod";
import type { FaultTarget } from "../faults/faultSwitches.js";
import { parseCompletionRequest, type AnswerForm } from "./completionRequest.js";
import type { Engine } from "./engine.js";
import { engineOrderSchema } from "./engineOrders.js";
import { buildKvExport, kvExportSchema } from "./kvExport.js";

const cancelSchema = z.strictObject({ requestId: z.string().min(1) });
const eventQuerySchema = z.object({ after: z.coerce.number().int().nonnegative().default(0) });

/**
 * Adds the routes.
 *
 * @param server - The server.
 * @param engine - The engine.
 */
export function registerEngineRoutes(server: FastifyInstance, engine: Engine): void {
    registerCompletion(server, engine, "chat", "/v1/chat/completions");
    registerCompletion(server, engine, "text", "/v1/completions");
    server.get("/v1/models", { config: buildConfig("models") }, async () => ({
        object: "list",
        data: engine.orders.listServed().map((id) => ({ id, object: "model", owned_by: "stand-in" })),
    }));
    registerCaches(server, engine);
    registerSteering(server, engine);
}

function registerCompletion(server: FastifyInstance, engine: Engine, form: AnswerForm, path: string): void {
    server.post(path, { config: buildConfig("completion") }, async (request, reply) => {
        const completion = parseCompletionRequest(form, request.body);
        if (!engine.orders.listServed().includes(completion.model)) {
            return sendNotRun(reply, 404, `model ${completion.model} is not loaded`);
        }
        if (engine.scheduler.isFull()) {
            return sendNotRun(reply, 503, "the waiting queue is full");
        }
        engine.startCompletion(completion, request, reply);
        return reply;
    });
}

function registerCaches(server: FastifyInstance, engine: Engine): void {
    server.get("/cache-events", { config: buildConfig("cacheEvents") }, async (request) =>
        engine.events.readEvents(eventQuerySchema.parse(request.query).after),
    );
    server.get("/kv/:requestId", { config: buildConfig("kvExport") }, async (request, reply) => {
        const { requestId } = cancelSchema.parse(request.params);
        return buildKvExport(engine, requestId) ?? sendNotRun(reply, 404, "no such request runs here");
    });
    server.post("/kv", { config: buildConfig("kvImport") }, async (request) => {
        const { blocks } = kvExportSchema.parse(request.body);
        engine.cache.storeBlocks(blocks);
        return { imported: true };
    });
}

function registerSteering(server: FastifyInstance, engine: Engine): void {
    server.get("/load", { config: buildConfig("load") }, async () => {
        const { measuredAtMs, value } = engine.readLoad();
        return { ...value, measuredAtMs };
    });
    server.post("/cancel", { config: buildConfig("cancel") }, async (request) => {
        const { requestId } = cancelSchema.parse(request.body);
        return { cancelled: cancelRequest(engine, requestId) };
    });
    server.post("/orders", { config: buildConfig("order") }, async (request: FastifyRequest) =>
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

function buildConfig(call: string): { target: FaultTarget } {
    return { target: { service: "engine", call } };
}

function sendNotRun(reply: FastifyReply, status: number, message: string): FastifyReply {
    return reply.code(status).header("x-executed", "no").send({ message, executed: "no" });
}
