/**
 * The search of one request for a node that relays it to a backend server.
 *
 * @packageDocumentation
 */

/** A node that may relay requests. */
export interface RelayCandidate {
    readonly name: string;
    readonly dataCentre: string;
}

/** Why a node did not relay a request, none of which was sent to the server. */
export type RelayObstacle =
    /** The node stops or relays too much. */
    | "busy"
    /** The node cannot be reached. */
    | "gone"
    /** The node reaches no backend server. */
    | "apart"
    /** The node does not reach this server, but reaches others. */
    | "unreached"
    /** The server takes no request. */
    | "server";

/** Number of nodes without links to a server after which the server is the likely cause. */
const unreachedNodes = 2;
/** Number of nodes that a request asks beyond one for each data centre. */
const furtherNodes = 8;
/** Number of nodes that a request asks although they are known to be of no use; their links may work again. */
const lastResorts = 2;

/** Remembers which nodes a request has asked. */
export class RelaySearch {
    private readonly declined = new Set<string>();
    /** Names of the nodes that do not reach a server, by its identifier. */
    private readonly unreached = new Map<string, Set<string>>();
    /** Data centres of nodes whose links fail: those of their neighbours likely fail with them. */
    private readonly avoided = new Set<string>();
    /** Whether an attempt over this node's own links got no data while no server was heard of. */
    private hasSilentLinks = false;
    private askedLastResorts = 0;
    private askedNodes = 0;

    /** @returns The number of nodes that did not relay the request. */
    countDeclined(): number {
        return this.askedNodes;
    }

    /**
     * Records that an attempt over this node's own links got no data while no server was heard of. The links may have failed,
     * and those of the neighbours with them.
     *
     * @param dataCentre - Data centre of this node.
     */
    recordSilentLinks(dataCentre: string): void {
        this.hasSilentLinks = true;
        this.avoided.add(dataCentre);
    }

    /** @returns Whether the next attempt should go through another node although this node's links may work. */
    isRelayPreferred(): boolean {
        return this.hasSilentLinks && this.askedNodes === 0;
    }

    /**
     * Records that a node did not relay the request.
     *
     * @param node - The node.
     * @param serverId - The server to which the request should have gone.
     * @param obstacle - Why.
     * @returns Whether the server is to be excluded.
     */
    recordDeclined({ name, dataCentre }: RelayCandidate, serverId: string, obstacle: RelayObstacle): boolean {
        this.askedNodes += 1;
        switch (obstacle) {
            case "server":
                return true;
            case "busy":
                this.declined.add(name);
                return false;
            case "gone":
            case "apart":
                this.declined.add(name);
                this.avoided.add(dataCentre);
                return false;
            case "unreached": {
                const nodes = this.unreached.get(serverId) ?? new Set();
                this.unreached.set(serverId, nodes.add(name));
                this.avoided.add(dataCentre);
                return nodes.size >= unreachedNodes;
            }
        }
    }

    /**
     * Lists the nodes that do not reach a server.
     *
     * @param serverId - The server.
     * @returns Their names; empty when none has said so for this request.
     */
    listUnreached(serverId: string): readonly string[] {
        return [...(this.unreached.get(serverId) ?? [])];
    }

    /**
     * Checks whether a node may still be asked.
     *
     * @param name - Name of the node.
     * @param serverId - The server to which the request is to go.
     * @returns Whether it may.
     */
    isOpen(name: string, serverId: string): boolean {
        return !this.declined.has(name) && this.unreached.get(serverId)?.has(name) !== true;
    }

    /**
     * Checks whether the links of nodes of a data centre failed for this request.
     *
     * @param dataCentre - Name of the data centre.
     * @returns Whether they did.
     */
    isAvoided(dataCentre: string): boolean {
        return this.avoided.has(dataCentre);
    }

    /** Records that a node is asked that is known to reach no server, or not to be there. */
    recordLastResort(): void {
        this.askedLastResorts += 1;
    }

    /** @returns Whether another such node may be asked. */
    hasLastResort(): boolean {
        return this.askedLastResorts < lastResorts;
    }

    /**
     * Checks whether the request has asked enough nodes. Links fail together in a data centre, so the bound grows with the
     * data centres and not with the nodes.
     *
     * @param dataCentres - Number of data centres.
     * @returns Whether it has.
     */
    isExhausted(dataCentres: number): boolean {
        return this.askedNodes >= dataCentres + furtherNodes;
    }
}
