/**
 * Chooses the node through which a request goes to a backend server that this node does not reach.
 *
 * @packageDocumentation
 */
import {
    RelayChoice,
    type RelayChoiceOptions,
    type RelayObstacle,
    type RelaySearch,
} from "@pimentocleat/policy";
import type { NamedPeer } from "../peers/peerDirectory.js";

/** A node that relays requests. */
export interface RelayPeer extends NamedPeer {
    /** Secret to present to it. */
    readonly relayKey: string;
}

/** Options of {@link RelayPeers}. */
export interface RelayPeersOptions extends RelayChoiceOptions {
    /** Lists the other nodes, alive or not. */
    readonly listNodes: () => readonly NamedPeer[];
    /**
     * Finds a registered node.
     *
     * @param name - Its name.
     * @returns The node, or undefined when none is registered under the name.
     */
    readonly findNode: (name: string) => NamedPeer | undefined;
}

/** Knows which nodes can relay, and how much each relays for this node. */
export class RelayPeers {
    private readonly choice: RelayChoice;

    /** @param options - This node and the other ones. */
    constructor(private readonly options: RelayPeersOptions) {
        this.choice = new RelayChoice(options);
    }

    /**
     * Chooses a node that is likely to reach servers, one of this data centre if possible, and of two drawn at random that
     * which relays less for this node.
     *
     * @param search - The nodes that the request has asked.
     * @param serverId - The server to which the request is to go.
     * @returns The node; undefined when none is left.
     */
    chooseNode(search: RelaySearch, serverId: string): RelayPeer | undefined {
        const nodes = this.options
            .listNodes()
            .filter((node): node is RelayPeer => node.relayKey !== undefined);
        return this.choice.chooseNode(nodes, search, serverId);
    }

    /**
     * Checks whether a request has asked enough nodes.
     *
     * @param search - The nodes that it has asked.
     * @returns Whether it has.
     */
    isExhausted(search: RelaySearch): boolean {
        return search.isExhausted(new Set(this.options.listNodes().map(({ dataCentre }) => dataCentre)).size);
    }

    /**
     * Records that a request is given to a node.
     *
     * @param node - The node.
     * @param search - The nodes that the request has asked.
     */
    recordAsked(node: RelayPeer, search: RelaySearch): void {
        this.choice.recordAsked(node, search);
        this.choice.recordInFlight(node.name, 1);
    }

    /**
     * Records that a node passed on a response of a server, which shows the links of those that did not reach it to fail.
     *
     * @param node - The node.
     * @param search - The nodes that the request has asked.
     * @param serverId - The server.
     */
    recordRelayed(node: RelayPeer, search: RelaySearch, serverId: string): void {
        this.choice.recordRelayed(node);
        search.listUnreached(serverId).forEach((name) => this.recordApart(name));
    }

    /**
     * Records that an attempt over this node's own links got no data while no server was heard of.
     *
     * @param search - The nodes that the request has asked.
     */
    recordSilentLinks(search: RelaySearch): void {
        search.recordSilentLinks(this.options.dataCentre);
    }

    /**
     * Records that a node did not relay a request.
     *
     * @param node - The node.
     * @param obstacle - Why.
     */
    recordDeclined(node: RelayPeer, obstacle: RelayObstacle): void {
        this.choice.recordDeclined(node, obstacle);
    }

    /**
     * Records that a request has ended at a node.
     *
     * @param name - Name of the node.
     */
    recordEnded(name: string): void {
        this.choice.recordInFlight(name, -1);
    }

    private recordApart(name: string): void {
        const node = this.options.findNode(name);
        if (node !== undefined) {
            this.choice.recordApart(node);
        }
    }
}
