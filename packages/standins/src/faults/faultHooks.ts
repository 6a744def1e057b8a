/**
 * Applies faults and rate limits to the routes of a stand-in and counts their calls.
 *
 * @packageDocumentation
 */
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { Readable } from "node:stream";
import { setTimeout as wait } from "node:timers/promises";
import type { CallCounter } from "./callCounter.js";
import { findFault, type FaultSwitches, type FaultTarget } from "./faultSwitches.js";
import type { Fault } from "./faultSchema.js";

const millisecondsPerSecond = 1_000;

declare module "fastify" {
    interface FastifyContextConfig {
        /** Call that the route serves; absent on control routes, to which no faults apply. */
        readonly target?: FaultTarget;
        /** Takes a rate limit token and returns 0, or returns the time until one is available, in milliseconds. */
        readonly takeToken?: () => number;
    }
    interface FastifyRequest {
        /** Faults that apply to the call. */
        faults: readonly Fault[];
    }
}

/** Dependencies of the fault hooks. */
export interface FaultHookOptions {
    readonly switches: FaultSwitches;
    readonly counter: CallCounter;
}

/**
 * Adds the fault hooks to a server; they apply to routes with a `config.target`.
 *
 * @param server - Server to add the hooks to.
 * @param options - Fault switches and call counter.
 */
export function registerFaultHooks(server: FastifyInstance, options: FaultHookOptions): void {
    server.decorateRequest("faults");
    server.addHook("preHandler", async (request, reply) => {
        const { target, takeToken } = request.routeOptions.config;
        request.faults = [];
        if (target === undefined) {
            return;
        }
        options.counter.addCall(target);
        request.faults = options.switches.takeFaults(target);
        const waitMs = takeToken?.() ?? 0;
        if (waitMs > 0) {
            return sendRateLimit(reply, waitMs);
        }
        return applyFaultsBeforeEffect(request, reply, options.switches);
    });
    server.addHook("onSend", async (request, reply, payload) => {
        if (findFault(request.faults ?? [], "dropReply") !== undefined) {
            reply.raw.destroy();
        }
        if (findFault(request.faults ?? [], "failAfterEffect") !== undefined) {
            return buildFailurePayload(reply);
        }
        const cut = findFault(request.faults ?? [], "cutMidAnswer");
        return cut === undefined ? payload : buildTruncatedPayload(reply, String(payload), cut.afterTokens);
    });
}

/**
 * Responds that a call was refused before it had any effect.
 *
 * @param reply - Reply of the call.
 * @returns The same reply.
 */
export function sendRefusal(reply: FastifyReply): FastifyReply {
    return reply
        .code(503)
        .header("x-executed", "no")
        .send({ message: "refused by a fault switch", executed: "no" });
}

async function applyFaultsBeforeEffect(
    request: FastifyRequest,
    reply: FastifyReply,
    switches: FaultSwitches,
): Promise<FastifyReply | undefined> {
    const delay = findFault(request.faults, "delay");
    if (delay !== undefined) {
        await wait(delay.delayMs);
    }
    const limit = findFault(request.faults, "rateLimit");
    if (limit !== undefined) {
        return sendRateLimit(reply, limit.retryAfterMs);
    }
    if (findFault(request.faults, "refuse") !== undefined) {
        return sendRefusal(reply);
    }
    if (findFault(request.faults, "hang") !== undefined) {
        reply.hijack();
        return reply;
    }
    if (findFault(request.faults, "lateEffect") !== undefined) {
        reply.raw.destroy();
        await switches.waitForNextPlan();
    }
    return undefined;
}

function buildFailurePayload(reply: FastifyReply): string {
    const payload = JSON.stringify({ message: "failed by a fault switch", executed: "unknown" });
    reply.code(503).removeHeader("x-executed");
    reply.type("application/json").header("content-length", Buffer.byteLength(payload));
    return payload;
}

function buildTruncatedPayload(reply: FastifyReply, payload: string, length: number): Readable {
    reply.header("content-length", Buffer.byteLength(payload));
    return Readable.from(sendThenFail(payload.slice(0, length)));
}

async function* sendThenFail(part: string): AsyncGenerator<Buffer> {
    yield Buffer.from(part);
    throw new Error("the response is truncated by a cutMidAnswer fault");
}

function sendRateLimit(reply: FastifyReply, waitMs: number): FastifyReply {
    const retryAfterMs = Math.ceil(waitMs);
    return reply
        .code(429)
        .header("retry-after", String(Math.ceil(retryAfterMs / millisecondsPerSecond)))
        .send({ message: "too many calls", executed: "no", retryAfterMs });
}
