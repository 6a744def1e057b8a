/**
 * Creates the dispatch state of a node.
 *
 * @packageDocumentation
 */
import { computeSlackPart } from "@pimentocleat/policy";
import type { Clock } from "@pimentocleat/types";
import type { ServerDirectory } from "../backends/serverDirectory.js";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";
import { ServiceDispatchRegistry } from "../dispatch/serviceDispatch.js";
import type { DispatchNews } from "../peers/dispatchNews.js";
import type { PeerDirectory } from "../peers/peerDirectory.js";
import type { GatewaySettings } from "../settings/gatewaySettings.js";

/** Options of {@link createDispatches}. */
export interface DispatchesOptions {
    readonly settings: GatewaySettings;
    readonly clock: Clock;
    readonly random: () => number;
    readonly directory: ServerDirectory;
    readonly configuration: ActiveConfiguration;
    readonly getPeers: () => PeerDirectory;
    readonly getNews: () => DispatchNews;
}

/**
 * Creates the dispatch state; the allowance of retries is divided by the nodes.
 *
 * @param options - The node, its servers and its peers.
 * @returns The state of all services.
 */
export function createDispatches(options: DispatchesOptions): ServiceDispatchRegistry {
    const { settings, clock, random, directory, configuration, getPeers, getNews } = options;
    return new ServiceDispatchRegistry({
        directory,
        configuration,
        clock,
        dataCentre: settings.dataCentre,
        news: { readDelayMs: (isAnnounced) => getNews().readDelayMs(isAnnounced), random },
        readRetrySettings: () => ({
            windowMs: settings.retryWindowMs,
            share: settings.retryShare,
            slack: computeSlackPart(settings.retrySlack, getPeers().countNodes()),
        }),
    });
}
