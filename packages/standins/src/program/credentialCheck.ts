/**
 * Checks the credential of those who call a backend server stand-in.
 *
 * @packageDocumentation
 */
import type { FastifyInstance } from "fastify";

/**
 * Refuses calls of routes with a `config.target` unless they carry the credential.
 *
 * @param server - The server.
 * @param credential - The wanted bearer token; nothing is checked when undefined.
 */
export function registerCredentialCheck(server: FastifyInstance, credential: string | undefined): void {
    if (credential === undefined) {
        return;
    }
    const wanted = `Bearer ${credential}`;
    server.addHook("preHandler", async (request, reply) => {
        const { target } = request.routeOptions.config;
        if (target === undefined || request.headers.authorization === wanted) {
            return undefined;
        }
        return reply
            .code(401)
            .header("x-executed", "no")
            .send({ message: "the credential is missing or wrong", executed: "no" });
    });
}
