/**
 * Creates the server for readiness checks, metrics and explanations.
 *
 * @packageDocumentation
 */
import type { FastifyInstance } from "fastify";
import type { TextMetrics } from "@pimentocleat/telemetry";
import { buildStatusServer } from "../callers/statusServer.js";
import { RouteExplainer, type RouteExplainerOptions } from "../dispatch/routeExplainer.js";

/** Options of {@link createStatusServer}: those of the explainer, and what the server tells. */
export interface StatusServerWiring extends RouteExplainerOptions {
    /** Path of the readiness check. */
    readonly readinessPath: string;
    /** Whether the node accepts new callers. */
    readonly isReady: () => boolean;
    readonly metrics: TextMetrics;
}

/**
 * Creates the server; it does not listen yet.
 *
 * @param options - What the server tells.
 * @returns The server.
 */
export function createStatusServer(options: StatusServerWiring): FastifyInstance {
    const explainer = new RouteExplainer(options);
    const { readinessPath, isReady, metrics, dispatches } = options;
    return buildStatusServer({
        readinessPath,
        isReady,
        formatMetrics: () => {
            dispatches.reportRoom(metrics);
            return metrics.formatText();
        },
        buildExplanation: (query) => explainer.buildExplanation(query),
    });
}
