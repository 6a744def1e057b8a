/**
 * Finds ports for programs that are told where to listen.
 *
 * @packageDocumentation
 */
import { createServer } from "node:net";

const loopbackHost = "127.0.0.1";
/** From here up to 32,767: Linux takes the ports of outgoing connections from those above, and then nobody can listen. */
const firstPort = 10_000;
const portCount = 22_768;

/**
 * Finds a free TCP port on the loopback interface.
 *
 * @returns The port, which is not reserved: another program may bind it before the caller does.
 */
export async function findFreePort(): Promise<number> {
    for (;;) {
        const port = firstPort + Math.floor(Math.random() * portCount);
        if (await isFree(port)) {
            return port;
        }
    }
}

function isFree(port: number): Promise<boolean> {
    return new Promise((resolve) => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, loopbackHost, () => server.close(() => resolve(true)));
    });
}
