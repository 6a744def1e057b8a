/**
 * Tells a server that has crashed from a connection that was reset.
 *
 * @packageDocumentation
 */
import type { WaitingClock } from "@pimentocleat/types";
import type { ConnectionPool } from "@pimentocleat/upstream";

/** Time in which a server that has crashed loses all of its connections, in milliseconds. */
const crashTimeMs = 25;

/**
 * Checks whether a server to which a connection was just lost loses all others too.
 *
 * @param connections - The connections of this node.
 * @param address - IP address and port of the server.
 * @param clock - The node's clock.
 * @returns Whether no connection stays open that was open before.
 */
export async function isServerGone(
    connections: ConnectionPool,
    address: string,
    clock: WaitingClock,
): Promise<boolean> {
    const others = connections.listOpenConnections(address);
    if (others.length === 0) {
        return true;
    }
    await clock.wait(crashTimeMs);
    return !others.some(({ isOpen }) => isOpen);
}
