/**
 * Creates what knows where streams began.
 *
 * @packageDocumentation
 */
import { ServerRestarts, StreamSpans, VersionHistory } from "@pimentocleat/policy";
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
    /** Reads the registrations of the servers from the store; resolves to whether that succeeded. */
    readonly readServers: () => Promise<boolean>;
}

/** The software versions that this node has seen, and the origins of streams. */
export interface KnownOrigins {
    readonly origins: OriginDirectory;
    readonly restarts: ServerRestarts;
    /** To be called while servers may have come and gone unnoticed. */
    readonly recordOutdated: () => void;
}

/**
 * Creates the directory of origins, and what knows the software versions of the servers.
 *
 * @param options - The node, its servers and its peers.
 * @returns The directory and its inputs.
 */
export function createStreamOrigins(options: StreamOriginsOptions): KnownOrigins {
    const { name, clock, directory, configuration, peers, getMessenger } = options;
    const versions = new VersionHistory(clock);
    const restarts = new ServerRestarts(clock);
    const spans = new StreamSpans(clock);
    directory.addRestartListener(({ id }) => restarts.recordRegistration(id));
    configuration.addListener(({ services }) => {
        services.forEach(({ name: service }) =>
            spans.recordSpan(service, configuration.readLongestStreamMs(service)),
        );
    });
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
        readLongestStreamMs: (service) => spans.readSpanMs(service),
        listKeepers: (requestId, count) => peers.listKeepers(requestId, count),
        send: (receiver, message) => getMessenger().sendOrigin(receiver, message),
        readServers: options.readServers,
    });
    return {
        origins,
        restarts,
        recordOutdated: () => {
            versions.clearHistory();
            restarts.recordOutdated();
        },
    };
}
