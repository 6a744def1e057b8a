/**
 * The peers of a node that runs alone.
 *
 * @packageDocumentation
 */
import type { WithdrawalPeers } from "../keys/withdrawalPeers.js";
import type { ConfigurationPeers } from "./configurationPeers.js";

/** Reaches nobody. */
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
