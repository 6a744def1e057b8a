/**
 * Creates what knows where streams began.
 *
 * @packageDocumentation
 */
import { VersionHistory } from "@pimentocleat/policy";
import type { WaitingClock } from "@pimentocleat/types";
import type { ServerDirectory } from "../backends/serverDirectory.js";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";
import { OriginDirectory } from "../peers/originDirectory.js";
import type { PeerDirectory } from "../peers/peerDirectory.js";
import type { PeerMessenger } from "../peers/peerMessenger.js";

/** Options of {@link createStreamOrigins}. */
export interface StreamOriginsOptions {
    readonly name: string;
    readonly clock: WaitingClock;
    readonly directory: ServerDirectory;
    readonly configuration: ActiveConfiguration;
    readonly peers: PeerDirectory;
    readonly getMessenger: () => PeerMessenger;
}

/** The software versions that this node has seen, and the origins of streams. */
export interface KnownOrigins {
    readonly versions: VersionHistory;
    readonly origins: OriginDirectory;
}

/**
 * Creates the history of software versions and the directory of origins.
 *
 * @param options - The node, its servers and its peers.
 * @returns Both.
 */
export function createStreamOrigins(options: StreamOriginsOptions): KnownOrigins {
    const { name, clock, directory, configuration, peers, getMessenger } = options;
    const versions = new VersionHistory(clock);
    directory.addReadyListener((service) => {
        const servers = directory.listServers(service);
        versions.recordServers(
            service,
            servers.map(({ softwareVersion }) => softwareVersion),
        );
    });
    const origins = new OriginDirectory({
        name,
        clock,
        history: versions,
        readLongestStreamMs: (service) => configuration.readLongestStreamMs(service),
        listKeepers: (requestId, count) => peers.listKeepers(requestId, count),
        send: (receiver, message) => getMessenger().sendOrigin(receiver, message),
    });
    return { versions, origins };
}
