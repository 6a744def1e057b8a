/**
 * Tracks the addresses of the other nodes. Each node registers in the platform's store, and all nodes follow the
 * registrations.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import { computePreferenceRank, computeRendezvousWeight, HashRing } from "@pimentocleat/policy";
import type { Row, RowChange, TableService } from "@pimentocleat/services";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import { hostSchema, portSchema } from "../backends/hostAddress.js";
import type { RowReceiver } from "../following/rowFollower.js";

/** Table that holds the registrations of the nodes. */
export const peerTable = "nodes";

/** Address on which a node receives messages of its peers. */
export interface PeerAddress {
    readonly host: string;
    readonly port: number;
    readonly dataCentre: string;
    /** Processor capacity of the host, in cores of normal speed. */
    readonly processorShare: number;
    /** Secret of the node; who presents it may have requests relayed. Nodes of earlier releases have none. */
    readonly relayKey?: string | undefined;
}

/** A node and its address. */
export interface NamedPeer extends PeerAddress {
    readonly name: string;
}

/** Options of {@link PeerDirectory}. */
export interface PeerDirectoryOptions {
    readonly name: string;
    readonly address: PeerAddress;
    readonly tableService: TableService;
    readonly clock: WaitingClock;
    readonly logger: Logger;
}

/** What ranks a node as a reader. */
interface ReaderRank {
    readonly name: string;
    readonly processorShare: number;
    readonly weight: number;
}

const addressSchema = z.object({
    host: hostSchema,
    port: portSchema,
    dataCentre: z.string(),
    processorShare: z.number(),
    /** Sent as a header. */
    relayKey: z
        .string()
        .regex(/^[\x21-\x7e]{1,200}$/)
        .optional()
        .catch(undefined),
});
/** Time without a message of a node after which it is considered dead, in milliseconds. */
const contactTimeoutMs = 3_000;
/** Key that ranks the nodes as lease candidates. */
const candidateRankKey = "watching";
/** Nodes that watch for expired leases besides the readers; each data centre has one at least and two at most. */
const candidates = 4;
const maximumCandidatesPerDataCentre = 2;
/** Key that ranks the nodes of a data centre as its reader. */
const readerRankKey = "reading";
/** Nodes of another data centre that get the news while its reader is not known. */
const likelyReaders = 2;
/** Delay before a failed registration is retried, in milliseconds. */
const registrationRetryMs = 1_000;
/**
 * Maximum number of peers that receive this node's messages about requests. In larger deployments the nodes of the
 * own data centre come first, since they send to the same servers.
 */
const maximumPeers = 24;

/**
 * Tracks the other nodes. A registration of a dead node costs one datagram for each message and is overwritten when a
 * node of the same name registers.
 */
export class PeerDirectory implements RowReceiver {
    private readonly peers = new Map<string, PeerAddress>();
    /** What ranks the other nodes as readers, by name; the weights are costly to compute. */
    private readonly readerRanks = new Map<string, ReaderRank>();
    private readonly ownRank: ReaderRank;
    /** Time at which the last message of a node arrived or its registration was first seen. */
    private readonly lastContactMs = new Map<string, number>();
    /** The node of each other data centre that last sent a message as its reader, and when. */
    private readonly otherReaders = new Map<string, { readonly name: string; readonly atMs: number }>();
    /** Whether this node's registration was stored and not removed since. */
    private isRegistered = false;
    /** Ends the retries of a later registration. */
    private readonly removal = new AbortController();
    /** Whether the registrations were read; before that, this node cannot tell its rank. */
    private hasRows = false;
    /** This node's rank as a reader; undefined until it is computed again. */
    private readerRank: number | undefined;
    /** All registered nodes, including this one; undefined until it is built again. */
    private ring: HashRing | undefined;
    /** The peers that receive this node's messages about requests. */
    private chosen: readonly PeerAddress[] = [];

    /** @param options - This node and the store. */
    constructor(private readonly options: PeerDirectoryOptions) {
        this.ownRank = buildReaderRank(options.name, options.address);
    }

    /**
     * Registers this node, and retries until that succeeds.
     *
     * @param signal - Ends the retries.
     */
    async register(signal: AbortSignal): Promise<void> {
        const { name: key, address, tableService, clock, logger } = this.options;
        while (!signal.aborted) {
            try {
                const writes = [{ table: peerTable, key, value: { ...address } }];
                await tableService.commitTransaction({ conditions: [], writes });
                this.isRegistered = true;
                return;
            } catch (error) {
                logger.writeEvent("peerRegistrationFailed", { reason: String(error) });
                await clock.wait(registrationRetryMs, signal);
            }
        }
    }

    /** Removes this node's registration. */
    async removeRegistration(): Promise<void> {
        this.isRegistered = false;
        this.removal.abort();
        const writes = [{ table: peerTable, key: this.options.name }];
        await this.options.tableService.commitTransaction({ conditions: [], writes });
    }

    /** @returns Addresses of the nodes that receive this node's messages about requests. */
    listPeers(): readonly PeerAddress[] {
        return this.chosen;
    }

    /** @returns Addresses of all other registered nodes. */
    listAllPeers(): readonly PeerAddress[] {
        return [...this.peers.values()];
    }

    /** @returns The other registered nodes. */
    listNodes(): readonly NamedPeer[] {
        return [...this.peers].map(([name, address]) => ({ name, ...address }));
    }

    /**
     * Checks whether no message of a node has arrived lately. Such a node may be dead, or have nothing to tell.
     *
     * @param name - Name of the node.
     * @returns Whether none has.
     */
    isSilent(name: string): boolean {
        const sinceMs = this.options.clock.monotonicMs() - contactTimeoutMs;
        return (this.lastContactMs.get(name) ?? sinceMs) <= sinceMs;
    }

    /**
     * Finds the address of a node.
     *
     * @param name - Name of the node.
     * @returns The address, or undefined when the node is not registered.
     */
    findPeer(name: string): PeerAddress | undefined {
        return this.peers.get(name);
    }

    /**
     * Finds a node with its name.
     *
     * @param name - Name of the node.
     * @returns The node, or undefined when it is not registered.
     */
    findNode(name: string): NamedPeer | undefined {
        const address = this.peers.get(name);
        return address === undefined ? undefined : { name, ...address };
    }

    /**
     * Lists the nodes that a key selects; nodes with the same registrations select the same ones.
     *
     * @param key - The key.
     * @param count - Maximum number of nodes.
     * @param heard - Names of other nodes that are alive, whose registration this node may not have read yet.
     * @returns The names, the most preferred first; this node may be among them.
     */
    listKeepers(key: string, count: number, heard: readonly string[] = []): readonly string[] {
        const { name } = this.options;
        const unknown = heard.filter((other) => other !== name && !this.peers.has(other));
        if (unknown.length > 0) {
            return new HashRing([...this.peers.keys(), name, ...unknown]).listSuccessors(key, count);
        }
        this.ring ??= new HashRing([...this.peers.keys(), this.options.name]);
        return this.ring.listSuccessors(key, count);
    }

    /** @returns Whether the registrations of the other nodes were read. */
    hasRegistrations(): boolean {
        return this.hasRows;
    }

    /** @returns Whether there are more nodes than one node tells its news directly. */
    isRelayed(): boolean {
        return this.peers.size > maximumPeers;
    }

    /**
     * Lists the likely readers of the other data centres: the node that last sent a reader's message from there, and
     * without a recent one the first in rank.
     *
     * @returns The addresses.
     */
    listOtherReaders(): readonly PeerAddress[] {
        const sinceMs = this.options.clock.monotonicMs() - contactTimeoutMs;
        const byDataCentre = new Map<string, string[]>();
        for (const [name, { dataCentre }] of this.peers) {
            if (dataCentre !== this.options.address.dataCentre) {
                byDataCentre.set(dataCentre, [...(byDataCentre.get(dataCentre) ?? []), name]);
            }
        }
        return [...byDataCentre].flatMap(([dataCentre, names]) => {
            const last = this.otherReaders.get(dataCentre);
            const known = last !== undefined && last.atMs > sinceMs ? this.peers.get(last.name) : undefined;
            if (known !== undefined) {
                return [known];
            }
            const ranked = names.map((name) => this.readerRanks.get(name)!).sort(compareReaders);
            return ranked.slice(0, likelyReaders).map(({ name }) => this.peers.get(name)!);
        });
    }

    /**
     * Records that a node sent a message as the reader of another data centre.
     *
     * @param name - Name of the node.
     */
    recordOtherReader(name: string): void {
        const dataCentre = this.peers.get(name)?.dataCentre;
        if (dataCentre !== undefined && dataCentre !== this.options.address.dataCentre) {
            this.otherReaders.set(dataCentre, { name, atMs: this.options.clock.monotonicMs() });
        }
    }

    /**
     * Records that a message of a node has just arrived.
     *
     * @param name - Name of the node.
     */
    recordContact(name: string): void {
        this.lastContactMs.set(name, this.options.clock.monotonicMs());
    }

    /**
     * Lists the other nodes of this data centre from which messages arrived recently.
     *
     * @returns The names of these nodes.
     */
    listLiveNeighbours(): readonly string[] {
        const sinceMs = this.options.clock.monotonicMs() - contactTimeoutMs;
        return this.listRegisteredNeighbours().filter(
            (name) => (this.lastContactMs.get(name) ?? Number.NEGATIVE_INFINITY) > sinceMs,
        );
    }

    /**
     * Lists the addresses of the other nodes of this data centre.
     *
     * @returns The addresses, whether or not these nodes are alive.
     */
    listNeighbourAddresses(): readonly PeerAddress[] {
        const { dataCentre } = this.options.address;
        return [...this.peers.values()].filter((peer) => peer.dataCentre === dataCentre);
    }

    /**
     * Checks whether this node is one of the first in rank that watch the leases for its data centre. The rank includes
     * nodes that seem dead, since a node that has no message to send cannot be distinguished from a dead one.
     *
     * @returns True for one or two nodes of each data centre, and for a node that knows no other; false while the registrations are unknown.
     */
    isLeaseCandidate(): boolean {
        if (!this.hasRows) {
            return false;
        }
        const neighbours = this.listRegisteredNeighbours();
        const dataCentres = new Set([...this.peers.values()].map(({ dataCentre }) => dataCentre)).size;
        const count = Math.min(
            maximumCandidatesPerDataCentre,
            Math.ceil(candidates / Math.max(1, dataCentres)),
        );
        return computePreferenceRank(candidateRankKey, this.options.name, neighbours) < count;
    }

    /**
     * Computes this node's rank as a reader among the registered nodes of its data centre, alive or not.
     *
     * @returns The rank; 0 is first, and infinity is returned while the registrations are unknown.
     */
    computeReaderRank(): number {
        if (!this.hasRows) {
            return Number.POSITIVE_INFINITY;
        }
        this.readerRank ??= this.countPreferredReaders(this.listRegisteredNeighbours());
        return this.readerRank;
    }

    /**
     * Computes this node's rank as a reader among the nodes of its data centre from which messages arrived recently.
     *
     * @returns The rank; 0 is first, and infinity is returned while the registrations are unknown.
     */
    computeLiveReaderRank(): number {
        return this.hasRows
            ? this.countPreferredReaders(this.listLiveNeighbours())
            : Number.POSITIVE_INFINITY;
    }

    /** @returns The number of registered nodes, including this one. */
    countNodes(): number {
        return this.peers.size + 1;
    }

    setRows(rows: readonly Row[]): void {
        this.hasRows = true;
        if (this.isRegistered && !rows.some((row) => row.key === this.options.name)) {
            // The store has come back from an older copy.
            this.isRegistered = false;
            void this.register(this.removal.signal);
        }
        this.peers.clear();
        this.readerRanks.clear();
        rows.forEach((row) => this.applyRow(row));
        this.choosePeers();
    }

    applyChanges(changes: readonly RowChange[]): void {
        for (const change of changes) {
            if (change.type === "put") {
                this.applyRow(change.row);
            } else {
                this.peers.delete(change.key);
                this.readerRanks.delete(change.key);
            }
        }
        this.choosePeers();
    }

    private applyRow(row: Row): void {
        const address = addressSchema.safeParse(row.value);
        if (!address.success || row.key === this.options.name) {
            return;
        }
        // A node that has just registered is alive, although no message of it has arrived yet.
        if (!this.peers.has(row.key) && !this.lastContactMs.has(row.key)) {
            this.recordContact(row.key);
        }
        this.peers.set(row.key, address.data);
        if (this.readerRanks.get(row.key)?.processorShare !== address.data.processorShare) {
            this.readerRanks.set(row.key, buildReaderRank(row.key, address.data));
        }
    }

    private countPreferredReaders(names: readonly string[]): number {
        return names.filter((name) => {
            const rank = this.readerRanks.get(name);
            return rank !== undefined && compareReaders(rank, this.ownRank) < 0;
        }).length;
    }

    private listRegisteredNeighbours(): readonly string[] {
        const { dataCentre } = this.options.address;
        return [...this.peers].filter(([, peer]) => peer.dataCentre === dataCentre).map(([name]) => name);
    }

    private choosePeers(): void {
        this.readerRank = undefined;
        this.ring = undefined;
        const { dataCentre } = this.options.address;
        const isNear = (peer: PeerAddress): number => Number(peer.dataCentre === dataCentre);
        const sorted = [...this.peers.values()].sort((left, right) => isNear(right) - isNear(left));
        this.chosen = sorted.slice(0, maximumPeers);
    }
}

function buildReaderRank(name: string, { processorShare }: PeerAddress): ReaderRank {
    return { name, processorShare, weight: computeRendezvousWeight(readerRankKey, name) };
}

/** Orders the readers of a data centre: the hosts with the highest processor capacity first, since a reader does more. */
function compareReaders(left: ReaderRank, right: ReaderRank): number {
    return (
        right.processorShare - left.processorShare ||
        right.weight - left.weight ||
        left.name.localeCompare(right.name)
    );
}
