/**
 * Calls that other parts of the node make to peers.
 *
 * @packageDocumentation
 */
import type { PeerClients, PeerClient } from "./peerClient.js";
import type { PeerConfiguration, PeerUsageCopy } from "./peerHandlers.js";

/** Withdrawals known to the peers that were reached. */
export interface PeerWithdrawals {
    /** Number of peers that answered. */
    readonly peers: number;
    /** Encoded withdrawals that at least one of them knows. */
    readonly keyIds: readonly string[];
}

/** Options of {@link PeerCalls}. */
export interface PeerCallsOptions {
    readonly clients: PeerClients;
    /** Timeout of one call, in milliseconds. */
    readonly callTimeoutMs: number;
    /** Maximum number of peers tried for a usage copy. */
    readonly maximumCopyAttempts: number;
    /** Chooses peers at random; returns all of them when no maximum is given. */
    readonly chooseAddresses: (maximumPeers: number | undefined) => readonly string[];
}

/** Calls peers; a peer whose call fails is left out of the result. */
export class PeerCalls {
    /** @param options - Clients, limits and the choice of peers. */
    constructor(private readonly options: PeerCallsOptions) {}

    /**
     * Asks peers for their configuration and returns the one with the highest revision.
     *
     * @param aboveRevision - Only a higher revision is returned.
     * @param maximumPeers - Maximum number of peers to ask, chosen at random; all when absent.
     * @returns The configuration, or undefined when no reached peer has a higher one.
     */
    async readConfiguration(
        aboveRevision: number,
        maximumPeers?: number,
    ): Promise<PeerConfiguration | undefined> {
        const answers = await this.callPeers(this.options.chooseAddresses(maximumPeers), async (client) => {
            const answer = await client.readConfiguration(
                { aboveRevision: BigInt(aboveRevision) },
                { timeoutMs: this.options.callTimeoutMs },
            );
            return { revision: Number(answer.revision), content: answer.configuration };
        });
        const higher = answers.filter(
            (answer) => answer.revision > aboveRevision && answer.content.length > 0,
        );
        higher.sort((left, right) => right.revision - left.revision);
        return higher[0];
    }

    /**
     * Sends withdrawals to peers in parallel; each peer forwards those that are new to it.
     *
     * @param withdrawals - Encoded withdrawals.
     * @param maximumPeers - Maximum number of peers to call, chosen at random; all when absent.
     * @returns The number of peers reached, and the withdrawals that they know.
     */
    async spreadWithdrawals(withdrawals: readonly string[], maximumPeers?: number): Promise<PeerWithdrawals> {
        const answers = await this.callPeers(this.options.chooseAddresses(maximumPeers), async (client) => {
            const request = { keyIds: [...withdrawals], forward: true };
            const answer = await client.spreadWithdrawals(request, {
                timeoutMs: this.options.callTimeoutMs,
            });
            return answer.keyIds;
        });
        return { peers: answers.length, keyIds: [...new Set(answers.flat())] };
    }

    /**
     * Copies usage counters to one peer; tries another one when the call fails.
     *
     * @param copy - The counters.
     * @returns Whether a peer stored the copy.
     */
    async copyUsage(copy: PeerUsageCopy): Promise<boolean> {
        const addresses = this.options.chooseAddresses(this.options.maximumCopyAttempts);
        for (const address of addresses) {
            const stored = await this.callPeers([address], (client) =>
                client.copyUsage(
                    {
                        ...copy,
                        incarnation: BigInt(copy.incarnation),
                        windowStartMs: BigInt(copy.windowStartMs),
                    },
                    { timeoutMs: this.options.callTimeoutMs },
                ),
            );
            if (stored.length > 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * Calls peers in parallel.
     *
     * @param addresses - The peers.
     * @param call - Makes one call.
     * @returns The responses of the calls that succeeded.
     */
    async callPeers<Answer>(
        addresses: readonly string[],
        call: (client: PeerClient) => Promise<Answer>,
    ): Promise<Answer[]> {
        const results = await Promise.allSettled(
            addresses.map((address) => call(this.options.clients.getClient(address))),
        );
        return results.flatMap((result) => (result.status === "fulfilled" ? [result.value] : []));
    }
}
