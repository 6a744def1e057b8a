/**
 * Follows the tables of the platform's store: the configuration, the backend servers and the nodes.
 *
 * @packageDocumentation
 */
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import { RowFollower, type RowFollowerOptions, type RowReceiver } from "../following/rowFollower.js";
import { peerTable, type PeerDirectory } from "../peers/peerDirectory.js";
import type { RelayTiming } from "../peers/relayTiming.js";
import type { StoreRelay } from "../peers/storeRelay.js";
import type { PlatformAdapter } from "./platformAdapter.js";

/** Options of {@link startStoreFollowers}. */
export interface StoreFollowersOptions {
    readonly adapter: PlatformAdapter;
    readonly clock: WaitingClock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly random: () => number;
    readonly configurationReceiver: RowReceiver;
    readonly serverReceiver: RowReceiver;
    readonly peers: PeerDirectory;
    readonly relay: StoreRelay;
    readonly timing: RelayTiming;
    /** Ends the tasks. */
    readonly signal: AbortSignal;
}

/** The part of a follower's options that differs by table. */
type TableOptions = Omit<
    RowFollowerOptions,
    "feed" | "clock" | "logger" | "metrics" | "random" | "computeRetryMs"
>;

/**
 * Maximum time for which the store holds a long poll of the configuration, in milliseconds. It adds to the age of
 * the state that a reading node relays to its neighbours, and so does the long poll of the servers.
 */
const configurationLongPollMs = 800;
/** Maximum time for which the store holds a long poll of the backend servers, in milliseconds. */
const serverLongPollMs = 400;
/** Pause between two reads of server changes, in milliseconds; well below the time to react to a leaving server. */
const serverReadPauseMs = 500;
/** Maximum time for which the store holds a long poll of the nodes, in milliseconds; a late change costs little. */
const peerLongPollMs = 28_000;
/** Delay before the first read of the nodes, in milliseconds; nodes that start together have registered by then. */
const peerReadDelayMs = 700;

/**
 * Starts to follow the tables, and gives the relay the followers whose data it passes on.
 *
 * @param options - The store, the receivers and what this node relays.
 * @returns The tasks, which end with the signal.
 */
export function startStoreFollowers(options: StoreFollowersOptions): readonly Promise<void>[] {
    const { adapter, clock, logger, metrics, random, peers, relay, timing, signal } = options;
    const tasks: Promise<void>[] = [];
    const computeRetryMs = (): number => timing.computeRetryMs(peers.computeReaderRank());
    const startFollower = (table: TableOptions): RowFollower => {
        const shared = { feed: adapter.rowFeed, clock, logger, metrics, random, computeRetryMs };
        const follower = new RowFollower({ ...table, ...shared });
        tasks.push(follower.run(signal));
        return follower;
    };
    const relayed = {
        isRelayActive: (): boolean => relay.isRelayActive(),
        computePollIntervalMs: (): number =>
            relay.isReader() ? 0 : timing.computePollIntervalMs(peers.computeReaderRank()),
    };
    relay.setFollowers(
        startFollower({
            ...relayed,
            table: adapter.configurationTable,
            receiver: options.configurationReceiver,
            longPollMs: configurationLongPollMs,
            computePauseMs: () => 0,
        }),
        startFollower({
            ...relayed,
            table: adapter.serverTable,
            receiver: options.serverReceiver,
            longPollMs: serverLongPollMs,
            computePauseMs: () => serverReadPauseMs,
        }),
    );
    startFollower({
        table: peerTable,
        receiver: peers,
        longPollMs: peerLongPollMs,
        computePauseMs: () => timing.computeNodesPauseMs(peers.computeReaderRank(), peers.countNodes()),
        startDelayMs: peerReadDelayMs,
    });
    return tasks;
}
