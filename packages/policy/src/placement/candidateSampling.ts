/**
 * Bounds how many servers a node compares for one request. Nodes that choose the cheapest of all servers by the same
 * news send their requests to the same server until they hear of each other; when many requests start within the
 * delay of the news, each is better compared on a few random servers.
 *
 * @packageDocumentation
 */

/** Time constant over which the rate of requests is averaged, in milliseconds. */
const rateTimeConstantMs = 1_000;
/** Minimum number of servers that are compared; the better of two avoids most of the imbalance of a random one. */
const minimumSampleSize = 2;

/** Estimates the rate of requests of all nodes, and samples servers. */
export class CandidateSampling {
    private ratePerMs = 0;
    private updatedMs = 0;

    /** @param random - Source of randomness, 0 to 1. */
    constructor(private readonly random: () => number) {}

    /**
     * Records a request of any node.
     *
     * @param nowMs - The monotonic time, in milliseconds.
     */
    recordRequest(nowMs: number): void {
        this.ratePerMs = this.readRatePerMs(nowMs) + 1 / rateTimeConstantMs;
        this.updatedMs = nowMs;
    }

    /**
     * Computes how many servers to compare: all while less than one request starts within the delay of the news, and
     * the fewer the more requests do.
     *
     * @param servers - The number of servers.
     * @param newsDelayMs - Time until the nodes know of each other's requests, in milliseconds.
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The number of servers to compare.
     */
    computeSampleSize(servers: number, newsDelayMs: number, nowMs: number): number {
        const unknownRequests = this.readRatePerMs(nowMs) * newsDelayMs;
        const size = Math.ceil(servers / Math.max(1, unknownRequests));
        return Math.min(servers, Math.max(minimumSampleSize, size));
    }

    /**
     * Samples servers at random.
     *
     * @param servers - The servers.
     * @param size - The number of servers to sample.
     * @returns The sampled servers.
     */
    chooseSample<Server>(servers: readonly Server[], size: number): readonly Server[] {
        if (size >= servers.length) {
            return servers;
        }
        const rest = [...servers];
        return Array.from({ length: size }, () => {
            const index = Math.min(rest.length - 1, Math.floor(this.random() * rest.length));
            const chosen = rest[index]!;
            rest[index] = rest.at(-1)!;
            rest.pop();
            return chosen;
        });
    }

    private readRatePerMs(nowMs: number): number {
        return this.ratePerMs * Math.exp(-(nowMs - this.updatedMs) / rateTimeConstantMs);
    }
}
