/**
 * HTTP routes of the plain service stand-in; docs/interfaces/plain-service.md describes the protocol.
 *
 * @packageDocumentation
 */
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { setTimeout as wait } from "node:timers/promises";
import { z } from "zod";
import { findFault, type FaultSwitches, type FaultTarget } from "../faults/faultSwitches.js";
import type { LaggingValue } from "../program/laggingValue.js";
import { readRequestId } from "../program/requestRecorder.js";
import type { ExecutionCounter } from "./executionCounts.js";
import type { SlotQueue, SlotOccupancy } from "./slotQueue.js";

const orderCallSchema = z.looseObject({ orderId: z.string().min(1) });
const bookingSchema = z.looseObject({ seat: z.string().min(1), holder: z.string().min(1) });
const jobParametersSchema = z.object({ id: z.string().min(1) });
const jobStates = ["queued", "printing", "done"] as const;

/** Settings and dependencies of {@link PlainServiceRoutes}. */
export interface PlainServiceDependencies {
    readonly counter: ExecutionCounter;
    readonly load: LaggingValue<SlotOccupancy>;
    readonly queue: SlotQueue;
    readonly slots: number;
    /** Duration of a call, in milliseconds. */
    readonly serviceMs: number;
    readonly switches: FaultSwitches;
}

interface PlainAnswer {
    readonly status: number;
    readonly body: object;
}

interface SentAnswer extends PlainAnswer {
    readonly requestId: string;
}

type Execute = (request: FastifyRequest) => PlainAnswer;

/** Serves orders, bookings and jobs, and reports the load and the execution counts. */
export class PlainServiceRoutes {
    /** Holder of each booked seat. */
    private readonly holders = new Map<string, string>();
    private lastAnswer: SentAnswer | undefined;

    /**
     * @param dependencies - Settings and dependencies.
     */
    constructor(private readonly dependencies: PlainServiceDependencies) {}

    /**
     * Registers the routes.
     *
     * @param server - Server to add the routes to.
     */
    register(server: FastifyInstance): void {
        const { load, counter, slots } = this.dependencies;
        server.post("/orders", { config: buildRouteConfig("order") }, async (request, reply) =>
            this.runCall(request, reply, () => this.handleOrderCall(request)),
        );
        server.post("/bookings", { config: buildRouteConfig("booking") }, async (request, reply) =>
            this.runCall(request, reply, () => this.handleBooking(request)),
        );
        server.get("/jobs/:id", { config: buildRouteConfig("job") }, async (request, reply) =>
            this.runCall(request, reply, () => findJob(request)),
        );
        server.get("/load", { config: buildRouteConfig("load") }, async () => {
            const { measuredAtMs, value } = load.readValue();
            return { ...value, slots, measuredAtMs };
        });
        server.get("/counts", async () => counter.readCounts());
    }

    private async runCall(request: FastifyRequest, reply: FastifyReply, execute: Execute): Promise<object> {
        await this.dependencies.queue.acquire();
        try {
            await this.waitForServiceTime();
            const answer = this.selectAnswer(request, reply, execute(request));
            reply.code(answer.status);
            return answer.body;
        } finally {
            this.dependencies.queue.release();
        }
    }

    private async waitForServiceTime(): Promise<void> {
        const factor = this.dependencies.switches.findActiveFault("straggle")?.factor ?? 1;
        if (this.dependencies.serviceMs > 0) {
            await wait(this.dependencies.serviceMs * factor);
        }
    }

    /** Returns the call's own answer, or that of the previous call when the `crossedAnswers` fault applies. */
    private selectAnswer(request: FastifyRequest, reply: FastifyReply, ownAnswer: PlainAnswer): PlainAnswer {
        const previous = this.lastAnswer;
        this.lastAnswer = { ...ownAnswer, requestId: readRequestId(request) ?? "" };
        if (previous === undefined || findFault(request.faults, "crossedAnswers") === undefined) {
            return ownAnswer;
        }
        reply.header("x-request-id", previous.requestId);
        return previous;
    }

    private handleOrderCall(request: FastifyRequest): PlainAnswer {
        const { orderId } = orderCallSchema.parse(request.body);
        this.countExecution("orders", orderId, request);
        return { status: 200, body: { outcome: "confirmed", orderId } };
    }

    private handleBooking(request: FastifyRequest): PlainAnswer {
        const { seat, holder } = bookingSchema.parse(request.body);
        if (this.holders.has(seat)) {
            this.countExecution("refusals", seat, request);
            return { status: 409, body: { outcome: "taken", seat } };
        }
        this.holders.set(seat, holder);
        this.countExecution("bookings", `${seat}/${holder}`, request);
        return { status: 200, body: { outcome: "booked", seat, holder } };
    }

    private countExecution(
        kind: "orders" | "bookings" | "refusals",
        key: string,
        request: FastifyRequest,
    ): void {
        this.dependencies.counter.addExecution(kind, key);
        const requestId = readRequestId(request);
        if (requestId !== undefined) {
            this.dependencies.counter.addExecution("requests", requestId);
        }
    }
}

function findJob(request: FastifyRequest): PlainAnswer {
    const { id } = jobParametersSchema.parse(request.params);
    const characters = [...id].reduce((sum, character) => sum + (character.codePointAt(0) ?? 0), 0);
    return { status: 200, body: { jobId: id, status: jobStates[characters % jobStates.length] } };
}

function buildRouteConfig(call: string): { target: FaultTarget } {
    return { target: { service: "plain", call } };
}
