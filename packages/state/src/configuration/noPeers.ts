/**
 * Peers of a node that runs without others.
 *
 * @packageDocumentation
 */
import type { WithdrawalPeers } from "../keys/withdrawalPeers.js";
import type { ConfigurationPeers } from "./configurationPeers.js";

/** Implements the peer interfaces for a node without peers: no request reaches another node. */
export class NoPeers implements ConfigurationPeers, WithdrawalPeers {
    readHighestSnapshot(): Promise<undefined> {
        return Promise.resolve(undefined);
    }

    spreadWithdrawals(): Promise<number> {
        return Promise.resolve(0);
    }

    readWithdrawals(): Promise<undefined> {
        return Promise.resolve(undefined);
    }
}
