/**
 * The peers of a node in a deployment with a single node.
 *
 * @packageDocumentation
 */
import type { WithdrawalPeers } from "../keys/withdrawalPeers.js";
import type { ConfigurationPeers } from "./configurationPeers.js";

/** Implements the peer interfaces without any peer: no request reaches another node. */
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
