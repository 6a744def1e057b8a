/**
 * Connects what a node knows of the limits of servers, and its permits, to the other nodes.
 *
 * @packageDocumentation
 */
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import { BrittleDirectory } from "../backends/brittleDirectory.js";
import { ColdDirectory } from "../backends/coldDirectory.js";
import { LimitDirectory } from "../backends/limitDirectory.js";
import type { DirectPaths } from "../backends/directPaths.js";
import { LossCheck } from "../backends/lossCheck.js";
import type { ServerDirectory } from "../backends/serverDirectory.js";
import { ServerNotices } from "../backends/serverNotices.js";
import { ServerPermits } from "../backends/serverPermits.js";
import type { ConnectionPool } from "@pimentocleat/upstream";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";
import type { Evacuations } from "../configuration/evacuations.js";
import type { ServiceDispatchRegistry } from "../dispatch/serviceDispatch.js";
import type { LimitMessage } from "../peers/limitMessages.js";
import type { PeerAddress, PeerDirectory } from "../peers/peerDirectory.js";
import type { PeerMessenger } from "../peers/peerMessenger.js";
import { chooseRandomItems } from "../peers/randomItems.js";
import type { GatewaySettings } from "../settings/gatewaySettings.js";

/** Options of {@link createServerLimits}. */
export interface ServerLimitsOptions {
    /** Name of this node. */
    readonly name: string;
    readonly clock: WaitingClock;
    readonly random: () => number;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly peers: PeerDirectory;
    readonly directory: ServerDirectory;
    readonly configuration: ActiveConfiguration;
    readonly evacuations: Evacuations;
    readonly settings: GatewaySettings;
    readonly connections: ConnectionPool;
    readonly direct: DirectPaths;
    readonly dispatches: ServiceDispatchRegistry;
    /** Finds the messenger, which is created later. */
    readonly getMessenger: () => PeerMessenger;
}

/** What servers say of themselves, as one node knows and keeps it. */
export interface ServerLimits {
    readonly notices: ServerNotices;
    readonly limits: LimitDirectory;
    readonly brittle: BrittleDirectory;
    readonly cold: ColdDirectory;
    readonly permits: ServerPermits;
}

/** Number of nodes that may grant the permits of a server, one at a time; some remain when others stop. */
const permitKeepers = 4;

/**
 * Creates what a node knows of the limits of servers, and its permits.
 *
 * @param options - The node and its peers.
 * @returns All parts, which share one view of each server.
 */
export function createServerLimits(options: ServerLimitsOptions): ServerLimits {
    const { name, clock, random, logger, metrics, peers, dispatches, getMessenger } = options;
    /** Lists the nodes that may grant the permits of a server; none while this node does not know the others. */
    const listKeepers = (serverId: string, heard: readonly string[] = []): readonly string[] =>
        peers.hasRegistrations() ? peers.listKeepers(serverId, permitKeepers, heard) : [];
    const listOtherKeepers = (serverId: string): readonly PeerAddress[] => {
        const keepers = listKeepers(serverId);
        return keepers.includes(name) ? keepers.flatMap((keeper) => peers.findPeer(keeper) ?? []) : [];
    };
    const shared = {
        clock,
        random,
        logger,
        metrics,
        listPeers: () => peers.listPeers(),
        listOtherKeepers,
        chooseRandomPeers: (count: number) => chooseRandomItems(peers.listAllPeers(), count, random),
        send: (message: LimitMessage, receivers: readonly PeerAddress[]) =>
            getMessenger().sendLimits(message, receivers),
    };
    const limits = new LimitDirectory(shared);
    const { coldOverage, coldSlack, isFirstStart } = options.settings;
    const lossCheck = new LossCheck(options);
    const cold = new ColdDirectory({
        ...options,
        ...shared,
        coldOverage,
        coldSlack,
        isFirstStart,
        isServerLost: (server) => lossCheck.isServerLost(server),
        hasOpenConnection: ({ address }) => options.connections.listOpenConnections(address).length > 0,
    });
    const brittle = new BrittleDirectory({
        ...options,
        countInFlight: (service, serverId) =>
            dispatches.ensureService(service).placement.countInFlight(serverId),
        sendToKeepers: (message) =>
            listKeepers(message.serverId)
                .filter((keeper) => keeper !== name)
                .forEach((keeper) => getMessenger().sendPermit(keeper, message)),
    });
    const permits = new ServerPermits({
        name,
        clock,
        metrics,
        limits,
        brittle,
        cold,
        listKeepers,
        send: (receiver, message) => getMessenger().sendPermit(receiver, message),
    });
    const notices = new ServerNotices({
        ...options,
        limits,
        brittle,
        cold,
        reportLeaving: ({ id: serverId, bornMs }) =>
            getMessenger().sendLeaving({ type: "serverLeaving", serverId, bornMs }, peers.listPeers()),
    });
    return { notices, limits, brittle, cold, permits };
}
