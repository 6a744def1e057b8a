/**
 * The interface through which a node requests the configuration from its peers.
 *
 * @packageDocumentation
 */
import type { ConfigurationSnapshot } from "./configurationSnapshot.js";

/** Requests the configuration of other nodes. */
export interface ConfigurationPeers {
    /**
     * Reads the active configuration with the highest revision among the reachable peers.
     *
     * @param aboveRevision - Only a revision above this one is requested.
     * @returns The snapshot, or undefined if no reachable peer has one.
     */
    readHighestSnapshot(aboveRevision: number): Promise<ConfigurationSnapshot | undefined>;
}
