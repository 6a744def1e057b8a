/**
 * The task that keeps the node in touch with its peers: probes, piggybacked updates, relayed probes and
 * the calls that other parts of the node make to peers. Owns the membership, the records and the sockets.
 *
 * @packageDocumentation
 */
import { create } from "@bufbuild/protobuf";
import type { ServiceImpl } from "@connectrpc/connect";
import type { HostList } from "@pimentocleat/platform";
import { MemberTable, RecordTable, type MemberIdentity, type MemberStatement } from "@pimentocleat/policy";
import {
    CopyUsageResponseSchema,
    ExchangeResponseSchema,
    PeerService,
    ProbeNodeResponseSchema,
    ReadConfigurationResponseSchema,
    SpreadWithdrawalsResponseSchema,
    type ExchangeRequest,
    type ExchangeResponse,
} from "@pimentocleat/schema";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import { PeerClients } from "./peerClient.js";
import type { PeerConfiguration, PeerHandlers, PeerUsageCopy } from "./peerHandlers.js";
import {
    decodeIdentity,
    decodeRecords,
    decodeStatements,
    encodeIdentity,
    encodeRecords,
    encodeStatements,
} from "./peerMessages.js";
import { PeerServer } from "./peerServer.js";

/** Timing of a {@link PeerNetwork}, in milliseconds. */
export interface PeerNetworkSettings {
    /** Time between two probes. */
    readonly probePeriodMs: number;
    /** Longest wait for the answer to a probe. */
    readonly probeTimeoutMs: number;
    /** Time between two reads of the platform's host list. */
    readonly discoveryPeriodMs: number;
    /** Longest wait for the answer to any other call. */
    readonly callTimeoutMs: number;
    /** Most soft records in one message. */
    readonly recordsPerMessage: number;
    /** Members asked to relay a probe that failed. */
    readonly relayCount: number;
    /** Members to which a received withdrawal is passed on; bounds the calls when there are many nodes. */
    readonly forwardCount: number;
}

/** Defaults of {@link PeerNetworkSettings}. */
export const defaultPeerNetworkSettings: PeerNetworkSettings = {
    probePeriodMs: 1_000,
    probeTimeoutMs: 500,
    discoveryPeriodMs: 10_000,
    callTimeoutMs: 2_000,
    recordsPerMessage: 10,
    relayCount: 2,
    forwardCount: 8,
};

/** Options of a {@link PeerNetwork}. */
export interface PeerNetworkOptions {
    readonly name: string;
    readonly dataCentre: string;
    /** Where to listen, as IP address and port; port 0 lets the system choose. */
    readonly listenAddress: string;
    readonly secret: string;
    readonly clock: WaitingClock;
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    readonly random: () => number;
    readonly hostList: HostList;
    /** Addresses to probe even when the platform's list is out. */
    readonly seedAddresses: readonly string[];
    readonly handlers: PeerHandlers;
    readonly logger: Logger;
    readonly settings?: PeerNetworkSettings;
}

/** What reached peers know of withdrawals. */
export interface PeerWithdrawals {
    /** Peers that answered. */
    readonly peers: number;
    /** Withdrawals that any of them knows of. */
    readonly keyIds: readonly string[];
}

/** Traffic of a {@link PeerNetwork}. */
export interface PeerTraffic {
    /** Bytes received and sent on connections that peers opened. */
    readonly bytes: number;
    /** Exchanges merged, as the caller or as the receiver. */
    readonly exchanges: number;
}

/** Keeps the node in touch with its peers. */
export class PeerNetwork {
    private readonly settings: PeerNetworkSettings;
    private readonly clients: PeerClients;
    private readonly server: PeerServer;
    private readonly stopping = new AbortController();
    private readonly tasks: Promise<void>[] = [];
    private members: MemberTable | undefined;
    private records: RecordTable | undefined;
    private lastContactMs: number | undefined;
    private exchanges = 0;

    /** @param options - Identity, address, secret, clock, discovery and handlers. */
    constructor(private readonly options: PeerNetworkOptions) {
        this.settings = options.settings ?? defaultPeerNetworkSettings;
        const authentication = { secret: options.secret, clock: options.clock };
        this.clients = new PeerClients(authentication);
        this.server = new PeerServer({ authentication, service: this.buildService() });
    }

    /**
     * Listens and starts probing.
     *
     * @returns The address that peers reach.
     */
    async open(): Promise<string> {
        const [host = "", port = "0"] = this.options.listenAddress.split(":");
        const peerAddress = await this.server.open(host, Number(port));
        const { name, dataCentre, clock, random } = this.options;
        const self: MemberIdentity = {
            name,
            dataCentre,
            peerAddress,
            incarnation: Math.floor(clock.wallMs()),
        };
        this.members = new MemberTable({ clock, random, self });
        this.records = new RecordTable({
            owner: name,
            incarnation: self.incarnation,
            recordsPerMessage: this.settings.recordsPerMessage,
            onRecord: (record) =>
                this.options.handlers.handleRecord(record.owner, record.key, record.payload),
        });
        this.members.updateDiscovered(this.listSeedHosts());
        this.tasks.push(this.runProbes(), this.runDiscovery());
        return peerAddress;
    }

    /** Tells some peers that this node leaves, then stops. */
    async close(): Promise<void> {
        this.members?.recordOwnLeaving();
        await this.announceLeaving();
        this.stopping.abort();
        await Promise.all(this.tasks);
        await this.server.close();
    }

    /** @returns Other nodes that are not gone. */
    listMembers(): readonly MemberStatement[] {
        return this.members?.listPresent() ?? [];
    }

    /** @returns This node's identity; undefined before {@link PeerNetwork.open}. */
    readIdentity(): MemberIdentity | undefined {
        return this.members?.readSelf();
    }

    /** @returns Bytes on connections that peers opened, and calls answered, since the start. */
    readTraffic(): PeerTraffic {
        return { bytes: this.server.countBytes(), exchanges: this.exchanges };
    }

    /** @returns Monotonic time of the last successful exchange, in milliseconds. */
    readLastContactMs(): number | undefined {
        return this.lastContactMs;
    }

    /**
     * Sets a record of this node that spreads to all peers.
     *
     * @param key - The record's key.
     * @param payload - Its content.
     */
    setRecord(key: string, payload: Uint8Array): void {
        this.records?.setOwnRecord(key, payload);
    }

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
        const answers = await this.callPeers(this.chooseAddresses(maximumPeers), async (client) => {
            const answer = await client.readConfiguration(
                { aboveRevision: BigInt(aboveRevision) },
                { timeoutMs: this.settings.callTimeoutMs },
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
        const answers = await this.callPeers(this.chooseAddresses(maximumPeers), async (client) => {
            const request = { keyIds: [...keyIds], forward: true };
            const answer = await client.spreadWithdrawals(request, {
                timeoutMs: this.settings.callTimeoutMs,
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
        const addresses = this.members?.chooseRelayAddresses("", this.settings.relayCount) ?? [];
        for (const address of addresses) {
            const stored = await this.callPeers([address], (client) =>
                client.copyUsage(
                    {
                        ...copy,
                        incarnation: BigInt(copy.incarnation),
                        windowStartMs: BigInt(copy.windowStartMs),
                    },
                    { timeoutMs: this.settings.callTimeoutMs },
                ),
            );
            if (stored.length > 0) {
                return true;
            }
        }
        return false;
    }

    private async runProbes(): Promise<void> {
        const { clock, random } = this.options;
        while (!this.stopping.signal.aborted) {
            await this.probeNext();
            this.removeGoneMembers();
            const jitteredMs = this.settings.probePeriodMs * (0.75 + 0.5 * random());
            await clock.wait(jitteredMs, this.stopping.signal);
        }
    }

    private async runDiscovery(): Promise<void> {
        const { clock, random } = this.options;
        while (!this.stopping.signal.aborted) {
            await this.refreshDiscovered();
            const jitteredMs = this.settings.discoveryPeriodMs * (0.75 + 0.5 * random());
            await clock.wait(jitteredMs, this.stopping.signal);
        }
    }

    private async refreshDiscovered(): Promise<void> {
        try {
            const hosts = await this.options.hostList.listHosts();
            const entryHosts = hosts.filter((host) => host.role === "entry");
            const discovered = entryHosts.map((host) => ({ ...host, peerAddress: host.address }));
            this.members?.updateDiscovered([...discovered, ...this.listSeedHosts()]);
        } catch {
            this.options.logger.writeEvent("hostListUnavailable");
        }
    }

    private async probeNext(): Promise<void> {
        const address = this.members?.chooseProbeAddress();
        if (address === undefined) {
            return;
        }
        if (await this.exchangeWith(address)) {
            return;
        }
        if (!(await this.probeThroughRelays(address))) {
            this.members?.recordUnreachable(address);
            this.options.logger.writeEvent("peerUnreachable", { address });
        }
    }

    private async exchangeWith(address: string): Promise<boolean> {
        const receiver = this.members?.findName(address);
        try {
            const client = this.clients.getClient(address);
            const answer = await client.exchange(this.buildExchange(receiver), {
                timeoutMs: this.settings.probeTimeoutMs,
                signal: this.stopping.signal,
            });
            this.mergeExchange(answer);
            return true;
        } catch {
            return false;
        }
    }

    private async probeThroughRelays(address: string): Promise<boolean> {
        const relays = this.members?.chooseRelayAddresses(address, this.settings.relayCount) ?? [];
        const answers = await this.callPeers(relays, async (client) => {
            const answer = await client.probeNode(
                { peerAddress: address },
                { timeoutMs: 2 * this.settings.probeTimeoutMs, signal: this.stopping.signal },
            );
            return answer.reached;
        });
        return answers.includes(true);
    }

    private async announceLeaving(): Promise<void> {
        const addresses = this.members?.chooseRelayAddresses("", this.settings.relayCount) ?? [];
        await Promise.all(addresses.map((address) => this.exchangeWith(address)));
    }

    private removeGoneMembers(): void {
        for (const name of this.members?.removeExpired() ?? []) {
            this.records?.removeOwner(name);
            this.options.logger.writeEvent("peerGone", { peer: name });
            this.options.handlers.handleMemberGone(name);
        }
        const present = [...this.listAddresses(), ...this.options.seedAddresses];
        this.clients.retainClients(new Set(present));
    }

    private buildExchange(receiver: string | undefined): Omit<ExchangeResponse, "$typeName" | "$unknown"> {
        const self = this.members?.readSelf();
        const statements = this.members?.takeUpdates(receiver) ?? [];
        const records = this.records?.takeRecords(this.listMembers().length + 1) ?? [];
        return {
            sender: self === undefined ? undefined : encodeIdentity(self),
            configurationRevision: BigInt(this.options.handlers.readConfiguration()?.revision ?? 0),
            members: encodeStatements(statements),
            records: encodeRecords(records),
        };
    }

    private mergeExchange(message: ExchangeRequest | ExchangeResponse): MemberIdentity | undefined {
        const sender = decodeIdentity(message.sender);
        if (sender === undefined) {
            return undefined;
        }
        this.exchanges += 1;
        this.lastContactMs = this.options.clock.monotonicMs();
        this.members?.recordContact(sender);
        this.members?.mergeStatements(decodeStatements(message.members));
        this.records?.mergeRecords(decodeRecords(message.records));
        const revision = Number(message.configurationRevision);
        if (revision > (this.options.handlers.readConfiguration()?.revision ?? 0)) {
            this.options.handlers.handleHigherRevision(revision);
        }
        return sender;
    }

    private buildService(): ServiceImpl<typeof PeerService> {
        const { handlers } = this.options;
        return {
            exchange: (request) => {
                const sender = this.mergeExchange(request);
                return create(ExchangeResponseSchema, this.buildExchange(sender?.name));
            },
            probeNode: async (request) => {
                const reached = await this.exchangeWith(request.peerAddress);
                return create(ProbeNodeResponseSchema, { reached });
            },
            readConfiguration: (request) => {
                const held = handlers.readConfiguration();
                const isHigher = held !== undefined && held.revision > Number(request.aboveRevision);
                return create(ReadConfigurationResponseSchema, {
                    revision: BigInt(held?.revision ?? 0),
                    configuration: isHigher ? held.content : new Uint8Array(),
                });
            },
            spreadWithdrawals: (request) => {
                const added = handlers.addWithdrawals(request.keyIds);
                if (request.forward && added.length > 0) {
                    void this.spreadWithdrawals(added, this.settings.forwardCount);
                }
                return create(SpreadWithdrawalsResponseSchema, { keyIds: [...handlers.listWithdrawals()] });
            },
            copyUsage: (request) => {
                handlers.storeUsageCopy({
                    owner: request.owner,
                    incarnation: Number(request.incarnation),
                    windowStartMs: Number(request.windowStartMs),
                    counters: request.counters,
                });
                return create(CopyUsageResponseSchema, {});
            },
        };
    }

    private async callPeers<Answer>(
        addresses: readonly string[],
        call: (client: ReturnType<PeerClients["getClient"]>) => Promise<Answer>,
    ): Promise<Answer[]> {
        const results = await Promise.allSettled(
            addresses.map((address) => call(this.clients.getClient(address))),
        );
        return results.flatMap((result) => (result.status === "fulfilled" ? [result.value] : []));
    }

    private listAddresses(): string[] {
        const addresses = this.listMembers().map((member) => member.peerAddress);
        return addresses.length > 0 ? addresses : [...this.options.seedAddresses];
    }

    private chooseAddresses(maximumPeers: number | undefined): readonly string[] {
        const alive =
            maximumPeers === undefined ? [] : (this.members?.chooseRelayAddresses("", maximumPeers) ?? []);
        return alive.length > 0 ? alive : this.listAddresses();
    }

    private listSeedHosts(): { name: string; dataCentre: string; peerAddress: string }[] {
        return this.options.seedAddresses.map((peerAddress) => ({
            name: peerAddress,
            dataCentre: "",
            peerAddress,
        }));
    }
}
