/**
 * Checks the credential of calls to a backend server stand-in.
 *
 * @packageDocumentation
 */
import type { FastifyInstance } from "fastify";

/**
 * Responds with status 401 to calls of routes with a `config.target` that don't carry the credential.
 *
 * @param server - Server to add the check to.
 * @param credential - Expected bearer token; undefined disables the check.
 */
export function registerCredentialCheck(server: FastifyInstance, credential: string | undefined): void {
    if (credential === undefined) {
        return;
    }
    const expectedHeader = `Bearer ${credential}`;
    server.addHook("preHandler", async (request, reply) => {
        const { target } = request.routeOptions.config;
        if (target === undefined || request.headers.authorization === expectedHeader) {
            return undefined;
        }
        return reply
            .code(401)
            .header("x-executed", "no")
            .send({ message: "the credential is missing or wrong", executed: "no" });
    });
}
