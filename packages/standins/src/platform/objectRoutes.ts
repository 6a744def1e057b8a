/**
 * Routes of the object store; see docs/interfaces/object-store.md.
 *
 * @packageDocumentation
 */
import type { FastifyInstance } from "fastify";
import type { TokenBucket } from "../faults/tokenBucket.js";

/** Dependencies of the object store routes. */
export interface ObjectRouteOptions {
    /** Contents by name. */
    readonly objects: Map<string, Buffer>;
    readonly readLimit: TokenBucket;
    readonly writeLimit: TokenBucket;
}

interface ObjectParameters {
    readonly name: string;
}

/**
 * Registers the object store routes.
 *
 * @param server - Server to add the routes to.
 * @param options - Stored objects and rate limits.
 */
export function registerObjectRoutes(server: FastifyInstance, options: ObjectRouteOptions): void {
    const putConfig = {
        target: { service: "objects", call: "put" },
        takeToken: (): number => options.writeLimit.takeToken(),
    };
    const getConfig = {
        target: { service: "objects", call: "get" },
        takeToken: (): number => options.readLimit.takeToken(),
    };
    server.addContentTypeParser(
        "application/octet-stream",
        { parseAs: "buffer" },
        async (...[, body]: [unknown, Buffer]) => body,
    );
    server.put<{ Params: ObjectParameters; Body: Buffer }>(
        "/objects/:name",
        { config: putConfig },
        async (request) => {
            options.objects.set(request.params.name, Buffer.from(request.body));
            return { stored: true };
        },
    );
    server.get<{ Params: ObjectParameters }>(
        "/objects/:name",
        { config: getConfig },
        async (request, reply) => {
            const content = options.objects.get(request.params.name);
            if (content === undefined) {
                return reply.code(404).send({ message: "no such object", executed: "no" });
            }
            return reply.type("application/octet-stream").send(content);
        },
    );
}
