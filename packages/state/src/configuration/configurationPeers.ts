/**
 * What the other nodes can tell about the configuration.
 *
 * @packageDocumentation
 */
import type { ConfigurationSnapshot } from "./configurationSnapshot.js";

/** Asks other nodes for their configuration. */
export interface ConfigurationPeers {
    /**
     * Reads the newest configuration that any reachable peer has in force.
     *
     * @param aboveRevision - Only a revision above this one is wanted.
     * @returns The snapshot, or undefined when no reachable peer has one.
     */
    readHighestSnapshot(aboveRevision: number): Promise<ConfigurationSnapshot | undefined>;
}
