/**
 * Applies fault switches, rate limits and call counts to the routes of a stand-in.
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
        /** The call that a route serves; a route without one is for control and has no faults. */
        readonly target?: FaultTarget;
        /** Tells how long a call must wait, in milliseconds; 0 when it may run now. */
        readonly takeWaitMs?: () => number;
    }
    interface FastifyRequest {
        /** The faults that strike the call. */
        faults: readonly Fault[];
    }
}

/** What the hooks need. */
export interface FaultHookOptions {
    readonly switches: FaultSwitches;
    readonly counter: CallCounter;
}

/**
 * Adds the hooks to a server; routes opt in by `config.target`.
 *
 * @param server - The server.
 * @param options - Switches and counter.
 */
export function registerFaultHooks(server: FastifyInstance, options: FaultHookOptions): void {
    server.decorateRequest("faults");
    server.addHook("preHandler", async (request, reply) => {
        const { target, takeWaitMs } = request.routeOptions.config;
        request.faults = [];
        if (target === undefined) {
            return;
        }
        options.counter.addCall(target);
        request.faults = options.switches.takeFaults(target);
        const waitMs = takeWaitMs?.() ?? 0;
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
 * Answers that a call was refused before it had any effect.
 *
 * @param reply - The reply.
 * @returns The reply.
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
    throw new Error("the answer is cut by a fault switch");
}

function sendRateLimit(reply: FastifyReply, waitMs: number): FastifyReply {
    const retryAfterMs = Math.ceil(waitMs);
    return reply
        .code(429)
        .header("retry-after", String(Math.ceil(retryAfterMs / millisecondsPerSecond)))
        .send({ message: "too many calls", executed: "no", retryAfterMs });
}
