/**
 * Tells the loss of a server from that of this node's own links: after the former, connections to other servers can still be
 * opened.
 *
 * @packageDocumentation
 */
import type { WaitingClock } from "@pimentocleat/types";
import type { RegisteredServer } from "./backendServer.js";
import type { DirectPaths } from "./directPaths.js";
import type { ServerDirectory } from "./serverDirectory.js";

/** Options of {@link LossCheck}. */
export interface LossCheckOptions {
    readonly directory: ServerDirectory;
    readonly direct: DirectPaths;
    readonly clock: WaitingClock;
    readonly random: () => number;
}

/** Time within which a connection to another server opens, in milliseconds; longer than its opening may take. */
const checkMs = 450;

/** Checks losses of servers. */
export class LossCheck {
    /** @param options - The servers, and this node's links to them. */
    constructor(private readonly options: LossCheckOptions) {}

    /**
     * Checks whether a server that seems lost is the cause.
     *
     * @param lost - The server.
     * @returns Whether a connection to a server was opened since; false where no other server is registered. Data on open
     * connections shows nothing, since these may live on while links refuse new ones.
     */
    async isServerLost(lost: RegisteredServer): Promise<boolean> {
        const { direct, clock } = this.options;
        const sinceMs = clock.monotonicMs();
        this.listProbed(lost).forEach((server) => direct.probeServer(server));
        await clock.wait(checkMs);
        return direct.hasOpenedSince(sinceMs);
    }

    /** Chooses a server of another service, since those of one may crash together, and one of the same service. */
    private listProbed(lost: RegisteredServer): readonly RegisteredServer[] {
        const others = this.options.directory.listAllServers().filter(({ id }) => id !== lost.id);
        return [true, false]
            .map((isSameService) =>
                others.filter(({ service }) => (service === lost.service) === isSameService),
            )
            .map((servers) => servers[Math.floor(this.options.random() * servers.length)])
            .filter((server) => server !== undefined);
    }
}
