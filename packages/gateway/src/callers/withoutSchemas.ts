/**
 * Option of fastify for servers whose routes have no schemas. The compilers of schemas are large, and by default fastify
 * loads them when a server is created.
 *
 * @packageDocumentation
 */
import type { FastifyServerOptions } from "fastify";

function refuseSchema(): never {
    throw new Error("the servers of a node have no schemas");
}

/** Compilers that fastify never calls, since no route has a schema. */
export const withoutSchemas: Pick<FastifyServerOptions, "schemaController"> = {
    schemaController: {
        compilersFactory: { buildValidator: refuseSchema, buildSerializer: refuseSchema },
    },
};
