/**
 * Where the other nodes are: each node registers in the platform's store, and all follow the registrations.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import { computePreferenceRank } from "@pimentocleat/policy";
import type { Row, RowChange, TableService } from "@pimentocleat/services";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { RowReceiver } from "../following/rowFollower.js";

/** Table of the registrations. */
export const peerTable = "nodes";

/** Where a node hears its peers. */
export interface PeerAddress {
    readonly host: string;
    readonly port: number;
    readonly dataCentre: string;
}

/** Options of a {@link PeerDirectory}. */
export interface PeerDirectoryOptions {
    readonly name: string;
    readonly address: PeerAddress;
    readonly tableService: TableService;
    readonly clock: WaitingClock;
    readonly logger: Logger;
}

const addressSchema = z.object({ host: z.string(), port: z.number(), dataCentre: z.string() });
/** A node that was not heard for this long counts as gone, in milliseconds. */
const contactTimeoutMs = 3_000;
/** Names the watch for lapsed duties in the order of preference among nodes. */
const candidateRankKey = "watching";
/** Nodes of each data centre that watch for lapsed duties; one may be frozen or restarting at the same time. */
const candidatesPerDataCentre = 2;
/** Pause before a registration is tried again, in milliseconds. */
const registrationRetryMs = 1_000;
/**
 * Peers that hear of each send, at the most. Deployments with more nodes tell those of their own data centre
 * first, since these send to the same servers.
 */
const maximumPeers = 24;

/** Knows the other nodes. Registrations of nodes that are gone cost a datagram each and are overwritten by name. */
export class PeerDirectory implements RowReceiver {
    private readonly peers = new Map<string, PeerAddress>();
    /** When a node was last heard, or its registration first seen. */
    private readonly lastContactMs = new Map<string, number>();
    private chosen: readonly PeerAddress[] = [];

    /** @param options - This node and the store. */
    constructor(private readonly options: PeerDirectoryOptions) {}

    /**
     * Registers this node.
     *
     * @param signal - Ends the tries.
     */
    async register(signal: AbortSignal): Promise<void> {
        const { name: key, address, tableService, clock, logger } = this.options;
        while (!signal.aborted) {
            try {
                const writes = [{ table: peerTable, key, value: { ...address } }];
                await tableService.commitTransaction({ conditions: [], writes });
                return;
            } catch (error) {
                logger.writeEvent("peerRegistrationFailed", { reason: String(error) });
                await clock.wait(registrationRetryMs, signal);
            }
        }
    }

    /** Removes this node's registration. */
    async removeRegistration(): Promise<void> {
        const writes = [{ table: peerTable, key: this.options.name }];
        await this.options.tableService.commitTransaction({ conditions: [], writes });
    }

    /** @returns The nodes that hear of this node's sends. */
    listPeers(): readonly PeerAddress[] {
        return this.chosen;
    }

    /**
     * Finds where a node is.
     *
     * @param name - The node.
     * @returns Its address, or undefined when it is not registered.
     */
    findPeer(name: string): PeerAddress | undefined {
        return this.peers.get(name);
    }

    /** @param name - A node that was heard just now. */
    recordContact(name: string): void {
        this.lastContactMs.set(name, this.options.clock.monotonicMs());
    }

    /**
     * Lists the nodes of this data centre that live, as far as this one hears them.
     *
     * @returns Their names, without this node.
     */
    listLiveNeighbours(): readonly string[] {
        const sinceMs = this.options.clock.monotonicMs() - contactTimeoutMs;
        return this.listRegisteredNeighbours().filter(
            (name) => (this.lastContactMs.get(name) ?? Number.NEGATIVE_INFINITY) > sinceMs,
        );
    }

    /**
     * Lists where the other nodes of this data centre are.
     *
     * @returns Their addresses.
     */
    listNeighbourAddresses(): readonly PeerAddress[] {
        const { dataCentre } = this.options.address;
        return [...this.peers.values()].filter((peer) => peer.dataCentre === dataCentre);
    }

    /**
     * Tells whether this node is one of the first few that watch the duties for its data centre, whether or not
     * the others live: nodes that have nothing to say are not heard.
     *
     * @returns True for {@link candidatesPerDataCentre} nodes of each data centre, and for all while none is known.
     */
    isLeaseCandidate(): boolean {
        const neighbours = this.listRegisteredNeighbours();
        return (
            computePreferenceRank(candidateRankKey, this.options.name, neighbours) < candidatesPerDataCentre
        );
    }

    /** @returns How many nodes registered, this one included. */
    countNodes(): number {
        return this.peers.size + 1;
    }

    setRows(rows: readonly Row[]): void {
        this.peers.clear();
        rows.forEach((row) => this.applyRow(row));
        this.choosePeers();
    }

    applyChanges(changes: readonly RowChange[]): void {
        for (const change of changes) {
            if (change.type === "put") {
                this.applyRow(change.row);
            } else {
                this.peers.delete(change.key);
            }
        }
        this.choosePeers();
    }

    private applyRow(row: Row): void {
        const address = addressSchema.safeParse(row.value);
        if (!address.success || row.key === this.options.name) {
            return;
        }
        // A node that has just registered lives, although it has not been heard yet.
        if (!this.peers.has(row.key) && !this.lastContactMs.has(row.key)) {
            this.recordContact(row.key);
        }
        this.peers.set(row.key, address.data);
    }

    private listRegisteredNeighbours(): readonly string[] {
        const { dataCentre } = this.options.address;
        return [...this.peers].filter(([, peer]) => peer.dataCentre === dataCentre).map(([name]) => name);
    }

    private choosePeers(): void {
        const { dataCentre } = this.options.address;
        const isNear = (peer: PeerAddress): number => Number(peer.dataCentre === dataCentre);
        const sorted = [...this.peers.values()].sort((left, right) => isNear(right) - isNear(left));
        this.chosen = sorted.slice(0, maximumPeers);
    }
}
