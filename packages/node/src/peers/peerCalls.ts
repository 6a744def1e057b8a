/**
 * Calls that other parts of the node make to peers.
 *
 * @packageDocumentation
 */
import type { PeerClients, PeerClient } from "./peerClient.js";
import type { PeerConfiguration, PeerUsageCopy } from "./peerHandlers.js";

/** What reached peers know of withdrawals. */
export interface PeerWithdrawals {
    /** Peers that answered. */
    readonly peers: number;
    /** Withdrawals that any of them knows of. */
    readonly keyIds: readonly string[];
}

/** Options of {@link PeerCalls}. */
export interface PeerCallsOptions {
    readonly clients: PeerClients;
    /** Longest wait for an answer, in milliseconds. */
    readonly callTimeoutMs: number;
    /** Peers tried for a usage copy. */
    readonly maximumCopyAttempts: number;
    /** Chooses peers at random; all when no maximum is given. */
    readonly chooseAddresses: (maximumPeers: number | undefined) => readonly string[];
}

/** Calls peers; a peer that fails is left out of the result. */
export class PeerCalls {
    /** @param options - Clients, bounds and the choice of peers. */
    constructor(private readonly options: PeerCallsOptions) {}

    /**
     * Reads the highest configuration that some peers hold.
     *
     * @param aboveRevision - Only a higher revision is wanted.
     * @param maximumPeers - Most peers to ask, chosen at random; all when absent.
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
     * Passes withdrawals to all known peers at once; each passes on what is new to it.
     *
     * @param keyIds - Identifiers of withdrawn keys.
     * @param maximumPeers - Most peers to call, chosen at random; all when absent.
     * @returns How many peers were reached, and the withdrawals that they know of.
     */
    async spreadWithdrawals(keyIds: readonly string[], maximumPeers?: number): Promise<PeerWithdrawals> {
        const answers = await this.callPeers(this.options.chooseAddresses(maximumPeers), async (client) => {
            const request = { keyIds: [...keyIds], forward: true };
            const answer = await client.spreadWithdrawals(request, {
                timeoutMs: this.options.callTimeoutMs,
            });
            return answer.keyIds;
        });
        return { peers: answers.length, keyIds: [...new Set(answers.flat())] };
    }

    /**
     * Copies usage counters to one peer, another one when the first fails.
     *
     * @param copy - The counters.
     * @returns Whether a peer holds the copy.
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
     * Calls peers at the same time.
     *
     * @param addresses - The peers.
     * @param call - Makes one call.
     * @returns The answers of those that answered.
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
