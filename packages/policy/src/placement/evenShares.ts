/**
 * Spreads the requests of one node over servers whose load it learns too late. Many nodes that follow the same late
 * figures move to the same server at once. Here each node sends each server its share in turn, so that the sum over the
 * nodes is even without any news; a reported load shifts the order only while it is new.
 *
 * @packageDocumentation
 */

/** A server that may get the request. */
export interface SharedServer {
    readonly id: string;
    /** Share of the requests, relative to those of the other servers. */
    readonly weight: number;
    /** Requests that it reported as running or waiting, per slot; undefined when it reported none. */
    readonly load: number | undefined;
    /** Age of the reported load, in milliseconds. */
    readonly loadAgeMs: number;
}

/**
 * Time constant with which a reported load loses weight, in milliseconds. With 300 ms and longer, nodes whose news is
 * 300 ms old overrun one server after the other.
 */
const loadTimeConstantMs = 100;
/**
 * Number of turns by which a server whose load is one request a slot above the mean is passed over. With 3, nine nodes
 * with news 300 ms old lose more requests than by chance.
 */
const loadTurns = 0.5;

/** Keeps the turns of the servers of one service. */
export class EvenShares {
    /** Turns that each server is owed; their sum stays constant. */
    private readonly credits = new Map<string, number>();

    /** @param random - Source of randomness, 0 to 1; nodes must not begin with the same server. */
    constructor(private readonly random: () => number) {}

    /**
     * Chooses the server whose turn it is, without counting the turn.
     *
     * @param servers - The servers that may get the request.
     * @returns The server; undefined when there is none.
     */
    chooseServer(servers: readonly SharedServer[]): string | undefined {
        const meanLoad = computeMeanLoad(servers);
        const totalWeight = sumWeights(servers);
        let best: string | undefined;
        let bestTurns = Number.NEGATIVE_INFINITY;
        for (const server of servers) {
            const { id, weight, load } = server;
            const difference = load === undefined ? 0 : (load - meanLoad) * computeLoadWeight(server);
            const turns = this.ensureCredit(id) + weight / totalWeight - loadTurns * difference;
            if (turns > bestTurns) {
                best = id;
                bestTurns = turns;
            }
        }
        return best;
    }

    /**
     * Counts a turn. Servers that may not get the request gain nothing meanwhile, so that a server that returns is not
     * sent what it missed.
     *
     * @param chosen - The server that gets the request.
     * @param servers - The servers that may get it.
     */
    recordTurn(chosen: string, servers: readonly SharedServer[]): void {
        const totalWeight = sumWeights(servers);
        for (const { id, weight } of servers) {
            const turn = id === chosen ? 1 : 0;
            this.credits.set(id, this.ensureCredit(id) + weight / totalWeight - turn);
        }
    }

    /** Removes a server. */
    removeServer(id: string): void {
        this.credits.delete(id);
    }

    private ensureCredit(id: string): number {
        const known = this.credits.get(id);
        if (known !== undefined) {
            return known;
        }
        const credit = this.random();
        this.credits.set(id, credit);
        return credit;
    }
}

/** Computes how much a reported load still says, 1 when it is new. */
function computeLoadWeight({ loadAgeMs }: SharedServer): number {
    return Math.exp(-loadAgeMs / loadTimeConstantMs);
}

/** Computes the mean of the reported loads, weighted by age. */
function computeMeanLoad(servers: readonly SharedServer[]): number {
    let sum = 0;
    let weights = 0;
    for (const server of servers) {
        if (server.load !== undefined) {
            const weight = computeLoadWeight(server);
            sum += server.load * weight;
            weights += weight;
        }
    }
    return weights === 0 ? 0 : sum / weights;
}

function sumWeights(servers: readonly SharedServer[]): number {
    return servers.reduce((sum, { weight }) => sum + weight, 0);
}
