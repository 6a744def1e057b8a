/**
 * Chooses the node through which a request goes to a backend server that this node does not reach.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { NamedPeer } from "../peers/peerDirectory.js";

/** A node that relays requests. */
export interface RelayPeer extends NamedPeer {
    /** Secret to present to it. */
    readonly relayKey: string;
}

/** Options of {@link RelayPeers}. */
export interface RelayPeersOptions {
    readonly dataCentre: string;
    readonly clock: Clock;
    readonly random: () => number;
    /** Lists the other nodes that seem alive. */
    readonly listNodes: () => readonly NamedPeer[];
}

/** Time for which a node that could not relay a request is asked last, in milliseconds. */
const unableMs = 1_000;
/** Number of nodes whose loads are compared. */
const comparedNodes = 2;

/** Knows which nodes were unable to relay lately, and how much each relays for this node. */
export class RelayPeers {
    private readonly unableUntilMs = new Map<string, number>();
    private readonly inFlight = new Map<string, number>();

    /** @param options - The other nodes. */
    constructor(private readonly options: RelayPeersOptions) {}

    /**
     * Chooses a node: one of this data centre if possible, and of two drawn at random that which relays less for this node.
     *
     * @param excluded - Names of nodes that have been asked for the request.
     * @returns The node; undefined when none is left.
     */
    chooseNode(excluded: ReadonlySet<string>): RelayPeer | undefined {
        const nodes = this.options
            .listNodes()
            .filter((node): node is RelayPeer => node.relayKey !== undefined && !excluded.has(node.name));
        const nowMs = this.options.clock.monotonicMs();
        const able = nodes.filter(({ name }) => (this.unableUntilMs.get(name) ?? 0) <= nowMs);
        const near = able.filter(({ dataCentre }) => dataCentre === this.options.dataCentre);
        const pool = [near, able, nodes].find((list) => list.length > 0) ?? [];
        const drawn = Array.from({ length: comparedNodes }, () => this.chooseRandomNode(pool));
        return drawn.reduce((best, node) =>
            best !== undefined && node !== undefined && this.countInFlight(node) < this.countInFlight(best)
                ? node
                : best,
        );
    }

    /** @param name - Name of a node that could not relay a request for a reason of its own. */
    recordUnable(name: string): void {
        this.unableUntilMs.set(name, this.options.clock.monotonicMs() + unableMs);
    }

    /**
     * Records that a request was given to a node or has ended there.
     *
     * @param name - Name of the node.
     * @param change - 1 when it was given, -1 when it has ended.
     */
    recordInFlight(name: string, change: 1 | -1): void {
        const count = (this.inFlight.get(name) ?? 0) + change;
        if (count > 0) {
            this.inFlight.set(name, count);
        } else {
            this.inFlight.delete(name);
        }
    }

    private chooseRandomNode(pool: readonly RelayPeer[]): RelayPeer | undefined {
        return pool[Math.floor(this.options.random() * pool.length)];
    }

    private countInFlight({ name }: RelayPeer): number {
        return this.inFlight.get(name) ?? 0;
    }
}
