/**
 * An index of the prefix blocks that each server has cached, built from cache events that may be late or missing.
 *
 * @packageDocumentation
 */
import type { CacheEvent } from "../scheduling/poolScheduler.js";

interface ServerCache {
    sequence: number | undefined;
    /** Number of gaps seen in the event sequence. */
    generation: number;
    /** Generation in which each block was last stored, least recently stored first. */
    readonly blocks: Map<string, number>;
}

/** Factor by which each later gap in the events reduces the probability that a block is still cached. */
const gapConfidenceFactor = 0.5;
/** Blocks that are less likely than this to be cached are treated as not cached. */
const minimumConfidence = 0.1;
const maximumBlocksPerServer = 20_000;

/** Estimates which share of a prompt a server has cached. */
export class PrefixIndex {
    private readonly caches = new Map<string, ServerCache>();

    /**
     * Records changes to the cache of a server. An event that isn't newer than the last recorded one is ignored.
     *
     * @param event - The changes.
     */
    recordEvent(event: CacheEvent): void {
        const cache = this.getOrCreateCache(event.server);
        if (cache.sequence !== undefined && event.sequence <= cache.sequence) {
            return;
        }
        if (cache.sequence !== undefined && event.sequence > cache.sequence + 1) {
            cache.generation += 1;
        }
        cache.sequence = event.sequence;
        if (event.cleared) {
            cache.blocks.clear();
        }
        for (const block of event.removed) {
            cache.blocks.delete(block);
        }
        this.addBlocks(event.server, event.stored);
    }

    /**
     * Records blocks that a server has cached or soon will have, such as those of a request that starts there.
     *
     * @param server - The server.
     * @param blocks - The digests of the blocks.
     */
    addBlocks(server: string, blocks: readonly string[]): void {
        const cache = this.getOrCreateCache(server);
        for (const block of blocks) {
            cache.blocks.delete(block);
            cache.blocks.set(block, cache.generation);
        }
        while (cache.blocks.size > maximumBlocksPerServer) {
            const [oldest] = cache.blocks.keys();
            cache.blocks.delete(oldest ?? "");
        }
    }

    /**
     * Estimates the cached share of a prompt.
     *
     * @param server - The server.
     * @param blocks - The digests of the prompt's blocks, in order.
     * @returns The expected share of the blocks that the server doesn't have to compute, 0 to 1.
     */
    estimateCachedShare(server: string, blocks: readonly string[]): number {
        const cache = this.caches.get(server);
        if (cache === undefined || blocks.length === 0) {
            return 0;
        }
        let expectedBlocks = 0;
        for (const block of blocks) {
            const generation = cache.blocks.get(block);
            if (generation === undefined) {
                break;
            }
            const confidence = gapConfidenceFactor ** (cache.generation - generation);
            if (confidence < minimumConfidence) {
                break;
            }
            expectedBlocks += confidence;
        }
        return expectedBlocks / blocks.length;
    }

    /** Removes the blocks of a server that is no longer registered. */
    removeServer(server: string): void {
        this.caches.delete(server);
    }

    private getOrCreateCache(server: string): ServerCache {
        let cache = this.caches.get(server);
        if (cache === undefined) {
            cache = { sequence: undefined, generation: 0, blocks: new Map() };
            this.caches.set(server, cache);
        }
        return cache;
    }
}
