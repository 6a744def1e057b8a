/**
 * Opens the listeners of a node.
 *
 * @packageDocumentation
 */
import type { FastifyInstance } from "fastify";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";

const addressInUseCode = "EADDRINUSE";
const retryIntervalMs = 500;
/** Time for which a taken address is tried again, in milliseconds: an earlier process may still be ending. */
const retryTimeMs = 5_000;

/** What {@link startListening} needs. */
export interface ListeningOptions {
    readonly clock: WaitingClock;
    readonly logger: Logger;
}

/**
 * Starts to listen, and tries again while another program has the address.
 *
 * @param server - The server.
 * @param address - IP address and port.
 * @param options - Clock and log.
 * @returns A promise that rejects when the address is still taken at the end, or at once for other errors.
 */
export async function startListening(
    server: FastifyInstance,
    address: string,
    { clock, logger }: ListeningOptions,
): Promise<void> {
    const [host = "", port = "0"] = address.split(":");
    const endMs = clock.monotonicMs() + retryTimeMs;
    for (;;) {
        try {
            await server.listen({ host, port: Number(port) });
            return;
        } catch (error) {
            if (!isAddressInUse(error) || clock.monotonicMs() >= endMs) {
                throw error;
            }
            logger.writeEvent("addressInUse", { address });
        }
        await clock.wait(retryIntervalMs);
    }
}

function isAddressInUse(error: unknown): boolean {
    return error instanceof Error && "code" in error && error.code === addressInUseCode;
}
