/**
 * The task that exchanges state with the node's peers: probes, piggybacked updates, relayed probes and the
 * calls that other parts of the node make to peers. Owns the membership, the records and the sockets.
 *
 * @packageDocumentation
 */
import type { ServiceImpl } from "@connectrpc/connect";
import type { HostList } from "@pimentocleat/services";
import { MemberTable, RecordTable, type MemberIdentity, type MemberStatement } from "@pimentocleat/policy";
import type { PeerService } from "@pimentocleat/schema";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import { PeerCalls } from "./peerCalls.js";
import { PeerClients } from "./peerClient.js";
import { PeerDatagrams } from "./peerDatagrams.js";
import { PeerExchange, type ExchangeFields } from "./peerExchange.js";
import type { PeerHandlers } from "./peerHandlers.js";
import { encodeRecords } from "./peerMessages.js";
import { PeerServer } from "./peerServer.js";
import { buildPeerService } from "./peerService.js";

/**
 * Number of peers to which a node forwards a withdrawal that is new to it. The node that accepts the
 * withdrawal calls every peer, so a larger number would multiply the calls by the number of nodes.
 */
const forwardFanOut = 3;

/** Maximum number of peers to which a record is sent immediately; covers all nodes of today's deployments. */
const maximumDirectPeers = 16;

/** Timing, in milliseconds, and limits of a {@link PeerNetwork}. */
export interface PeerNetworkSettings {
    /** Mean time between two probes. */
    readonly probePeriodMs: number;
    /** Timeout of a probe. */
    readonly probeTimeoutMs: number;
    /** Mean time between two reads of the platform's host list. */
    readonly discoveryPeriodMs: number;
    /** Timeout of any other call. */
    readonly callTimeoutMs: number;
    /** Maximum number of soft records in one message. */
    readonly recordsPerMessage: number;
    /** Number of members asked to relay a probe that failed. */
    readonly relayCount: number;
}

/** Defaults of {@link PeerNetworkSettings}. */
export const defaultPeerNetworkSettings: PeerNetworkSettings = {
    probePeriodMs: 1_000,
    probeTimeoutMs: 500,
    discoveryPeriodMs: 10_000,
    callTimeoutMs: 2_000,
    recordsPerMessage: 10,
    relayCount: 2,
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
    /** Addresses to probe even when the platform's host list is unavailable. */
    readonly seedAddresses: readonly string[];
    readonly handlers: PeerHandlers;
    readonly logger: Logger;
    readonly settings?: PeerNetworkSettings;
}

/** Traffic of a {@link PeerNetwork}. */
export interface PeerTraffic {
    /** Bytes received and sent on connections that peers opened. */
    readonly bytes: number;
    /** Bytes of datagrams sent and received. */
    readonly datagramBytes: number;
    /** Exchanges merged, as the caller or as the receiver. */
    readonly exchanges: number;
}

/** Tracks the membership and exchanges state with the node's peers. */
export class PeerNetwork {
    private readonly settings: PeerNetworkSettings;
    private readonly clients: PeerClients;
    private readonly server: PeerServer;
    private readonly datagrams: PeerDatagrams;
    /** Calls to peers for other parts of the node. */
    readonly calls: PeerCalls;
    private readonly stopping = new AbortController();
    private readonly tasks: Promise<void>[] = [];
    private members: MemberTable | undefined;
    private records: RecordTable | undefined;
    private exchange: PeerExchange | undefined;

    /** @param options - Identity, address, secret, clock, discovery and handlers. */
    constructor(private readonly options: PeerNetworkOptions) {
        this.settings = options.settings ?? defaultPeerNetworkSettings;
        const authentication = { secret: options.secret, clock: options.clock };
        this.clients = new PeerClients(authentication);
        this.calls = new PeerCalls({
            clients: this.clients,
            callTimeoutMs: this.settings.callTimeoutMs,
            maximumCopyAttempts: this.settings.relayCount,
            chooseAddresses: (maximumPeers) => this.chooseAddresses(maximumPeers),
        });
        this.datagrams = new PeerDatagrams({
            ...authentication,
            onRecords: (records) => this.exchange?.mergeRecords(records),
        });
        this.server = new PeerServer({ authentication, service: this.buildService() });
    }

    /**
     * Starts listening and probing.
     *
     * @returns The address at which peers reach this node.
     */
    async open(): Promise<string> {
        const [host = "", port = "0"] = this.options.listenAddress.split(":");
        const peerAddress = await this.server.open(host, Number(port));
        await this.openDatagrams(peerAddress);
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
            onRestart: (owner) => this.options.handlers.handleMemberRemoved(owner),
        });
        this.exchange = new PeerExchange({
            members: this.members,
            records: this.records,
            handlers: this.options.handlers,
            clock,
        });
        this.members.updateDiscovered(this.listSeedHosts());
        this.tasks.push(this.runProbes(), this.runDiscovery());
        return peerAddress;
    }

    /** Notifies some peers that this node is leaving, then stops. */
    async close(): Promise<void> {
        this.members?.recordOwnLeaving();
        await this.sendLeaveNotices();
        this.stopping.abort();
        await Promise.all(this.tasks);
        await this.datagrams.close();
        await this.server.close();
    }

    /** @returns The other nodes that are not declared dead. */
    listMembers(): readonly MemberStatement[] {
        return this.members?.listPresent() ?? [];
    }

    /** @returns This node's identity; undefined before {@link PeerNetwork.open}. */
    readIdentity(): MemberIdentity | undefined {
        return this.members?.readSelf();
    }

    /** @returns Bytes transferred and exchanges merged since the start. */
    readTraffic(): PeerTraffic {
        return {
            bytes: this.server.countBytes(),
            datagramBytes: this.datagrams.countBytes(),
            exchanges: this.exchange?.countExchanges() ?? 0,
        };
    }

    /** @returns Monotonic time of the last successful exchange, in milliseconds. */
    readLastContactMs(): number | undefined {
        return this.exchange?.readLastContactMs();
    }

    /**
     * Sets a record of this node, which exchanges spread to all peers.
     *
     * @param key - The record's key.
     * @param payload - Its content.
     */
    setRecord(key: string, payload: Uint8Array): void {
        this.records?.setOwnRecord(key, payload);
    }

    /**
     * Sets records of this node and sends them to peers immediately, in addition to the exchanges. In a large
     * deployment only some peers receive them immediately.
     *
     * @param entries - Key and content of each record.
     */
    sendRecords(entries: ReadonlyMap<string, Uint8Array>): void {
        const records = [...entries].flatMap(
            ([key, payload]) => this.records?.setOwnRecord(key, payload) ?? [],
        );
        if (records.length > 0) {
            this.datagrams.sendRecords(encodeRecords(records), this.chooseAddresses(maximumDirectPeers));
        }
    }

    private async openDatagrams(peerAddress: string): Promise<void> {
        try {
            await this.datagrams.open(peerAddress);
        } catch {
            // The exchanges also carry the records, with a longer delay.
            this.options.logger.writeEvent("peerDatagramsUnavailable", { address: peerAddress });
        }
    }

    private async runProbes(): Promise<void> {
        const { clock, random } = this.options;
        while (!this.stopping.signal.aborted) {
            await this.probeNext();
            this.removeDeadMembers();
            const jitteredMs = this.settings.probePeriodMs * (0.75 + 0.5 * random());
            await clock.wait(jitteredMs, this.stopping.signal);
        }
    }

    private async runDiscovery(): Promise<void> {
        const { clock, random } = this.options;
        while (!this.stopping.signal.aborted) {
            await this.loadDiscoveredHosts();
            const jitteredMs = this.settings.discoveryPeriodMs * (0.75 + 0.5 * random());
            await clock.wait(jitteredMs, this.stopping.signal);
        }
    }

    private async loadDiscoveredHosts(): Promise<void> {
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
        if (await this.probeAddress(address)) {
            return;
        }
        if (!(await this.probeThroughRelays(address))) {
            this.members?.recordUnreachable(address);
            this.options.logger.writeEvent("peerUnreachable", { address });
        }
    }

    private async probeAddress(address: string): Promise<boolean> {
        const receiver = this.members?.findName(address);
        try {
            const client = this.clients.getClient(address);
            const answer = await client.exchange(this.buildExchangeFields(receiver), {
                timeoutMs: this.settings.probeTimeoutMs,
                signal: this.stopping.signal,
            });
            this.exchange?.mergeMessage(answer);
            return true;
        } catch {
            return false;
        }
    }

    private async probeThroughRelays(address: string): Promise<boolean> {
        const relays = this.members?.chooseRelayAddresses(address, this.settings.relayCount) ?? [];
        const answers = await this.calls.callPeers(relays, async (client) => {
            const answer = await client.probeNode(
                { peerAddress: address },
                { timeoutMs: 2 * this.settings.probeTimeoutMs, signal: this.stopping.signal },
            );
            return answer.reached;
        });
        return answers.includes(true);
    }

    private async sendLeaveNotices(): Promise<void> {
        const addresses = this.members?.chooseRelayAddresses("", this.settings.relayCount) ?? [];
        await Promise.all(addresses.map((address) => this.probeAddress(address)));
    }

    private removeDeadMembers(): void {
        for (const name of this.members?.removeExpired() ?? []) {
            this.records?.removeOwner(name);
            this.options.logger.writeEvent("peerGone", { peer: name });
            this.options.handlers.handleMemberRemoved(name);
        }
        const present = [...this.listAddresses(), ...this.options.seedAddresses];
        this.clients.removeUnusedClients(new Set(present));
    }

    private buildService(): ServiceImpl<typeof PeerService> {
        return buildPeerService({
            handlers: this.options.handlers,
            mergeMessage: (message) => this.exchange?.mergeMessage(message),
            buildExchangeFields: (receiver) => this.buildExchangeFields(receiver),
            probeAddress: (address) => this.probeAddress(address),
            forwardWithdrawals: (withdrawals) =>
                void this.calls.spreadWithdrawals(withdrawals, forwardFanOut),
        });
    }

    private buildExchangeFields(receiver: string | undefined): ExchangeFields {
        return (
            this.exchange?.buildExchangeFields(receiver) ?? {
                sender: undefined,
                configurationRevision: 0n,
                members: [],
                records: [],
            }
        );
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
