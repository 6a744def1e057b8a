/**
 * The server for readiness checks, metrics and explanations. It changes nothing.
 *
 * @packageDocumentation
 */
import fastify, { type FastifyInstance } from "fastify";
import { RouterError } from "@pimentocleat/types";
import { withoutSchemas } from "./withoutSchemas.js";
import { routeQuerySchema, type RouteExplanation, type RouteQuery } from "../dispatch/routeExplainer.js";

const metricsPath = "/metrics";
const explanationPath = "/explain";
const readyStatus = 200;
const badRequestStatus = 400;
const notFoundStatus = 404;
const unavailableStatus = 503;

/** Options of {@link buildStatusServer}. */
export interface StatusServerOptions {
    /** Path of the readiness check. */
    readonly readinessPath: string;
    /** Whether the node accepts new callers. */
    readonly isReady: () => boolean;
    /** Formats the metrics. */
    readonly formatMetrics: () => string;
    /**
     * Explains where a request would be sent.
     *
     * @throws RouterError when no route leads anywhere.
     */
    readonly buildExplanation: (query: RouteQuery) => RouteExplanation;
}

/**
 * Builds the server; it does not listen yet.
 *
 * @param options - What it tells.
 * @returns The server.
 */
export function buildStatusServer(options: StatusServerOptions): FastifyInstance {
    const server = fastify({ ...withoutSchemas, logger: false, exposeHeadRoutes: false });
    server.get(options.readinessPath, async (...[, reply]) =>
        reply.code(options.isReady() ? readyStatus : unavailableStatus).send(""),
    );
    server.get(metricsPath, async (...[, reply]) => reply.type("text/plain").send(options.formatMetrics()));
    server.get(explanationPath, async (request, reply) => {
        const query = routeQuerySchema.safeParse(request.query);
        if (!query.success) {
            const mistakes = query.error.issues.map(({ path, message }) => `${path.join(".")}: ${message}`);
            return reply.code(badRequestStatus).send({ error: mistakes.join("; ") });
        }
        try {
            return await reply.send(options.buildExplanation(query.data));
        } catch (error) {
            if (error instanceof RouterError) {
                return reply.code(notFoundStatus).send({ error: error.message });
            }
            throw error;
        }
    });
    return server;
}
