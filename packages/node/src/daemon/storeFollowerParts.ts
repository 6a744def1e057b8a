/**
 * The components of a daemon that follow the store and exchange its contents with the peers.
 *
 * @packageDocumentation
 */
import {
    BoundedTableService,
    ConfigurationFollower,
    ConfiguredKeyRegistry,
    defaultRetryDelays,
    defaultCallTimeoutMs,
    CallRetrier,
    StoreFollower,
    TableConfigurationStore,
    WithdrawalFollower,
    WithdrawalStore,
    type ConfigurationStore,
} from "@pimentocleat/state";
import type { DaemonOptions } from "./daemonOptions.js";
import { PeerBridge } from "./peerBridge.js";

/** Maximum number of store reads per second that all nodes together spend on polls. */
const maximumPollReadsPerSecond = 500;
const millisecondsPerSecond = 1_000;

/** Components that follow the store. */
export interface StoreFollowerParts {
    readonly bridge: PeerBridge;
    readonly store: ConfigurationStore;
    readonly configuration: ConfigurationFollower;
    readonly registry: ConfiguredKeyRegistry;
    readonly withdrawals: WithdrawalFollower;
    readonly follower: StoreFollower;
}

/**
 * Builds the components that follow the store.
 *
 * @param options - The daemon's options.
 * @param countNodes - Counts the nodes that are known to run; the poll interval grows with their number.
 * @returns The components, not running yet.
 */
export function buildStoreFollowerParts(
    options: DaemonOptions,
    countNodes: () => number,
): StoreFollowerParts {
    const { settings, services, clock, logger, random } = options;
    const tableService = new BoundedTableService({
        tableService: services.tableService,
        clock,
        callTimeoutMs: defaultCallTimeoutMs,
    });
    const caller = new CallRetrier({ clock, random, ...defaultRetryDelays });
    const bridge = new PeerBridge();
    const store = new TableConfigurationStore({ tableService, clock, random });
    const configuration = new ConfigurationFollower({ store, peers: bridge, logger });
    const registry = new ConfiguredKeyRegistry({ configuration, logger });
    const withdrawalStore = new WithdrawalStore(tableService, caller);
    const withdrawals = new WithdrawalFollower({
        registry,
        store: withdrawalStore,
        peers: bridge,
        clock,
        logger,
    });
    const follower = new StoreFollower({
        tableService,
        configuration,
        withdrawals,
        clock,
        logger,
        random,
        getPollIntervalMs: () =>
            Math.max(
                settings.storePollMs,
                (countNodes() * millisecondsPerSecond) / maximumPollReadsPerSecond,
            ),
        isolationLimitMs: settings.isolationLimitMs,
    });
    return { bridge, store, configuration, registry, withdrawals, follower };
}
