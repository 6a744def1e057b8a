/**
 * Which server holds which prefix blocks, from cache events that come late and with gaps.
 *
 * @packageDocumentation
 */
import type { CacheEvent } from "../scheduling/poolScheduler.js";

interface ServerCache {
    sequence: number | undefined;
    /** Grows with each gap in the events. */
    generation: number;
    /** Generation in which each block was stored, oldest block first. */
    readonly blocks: Map<string, number>;
}

/** A block stored before a gap is trusted by this much for each gap since. */
const gapConfidenceFactor = 0.5;
const minimumConfidence = 0.1;
const maximumBlocksPerServer = 20_000;

/** Estimates how much of a prompt a server has cached. */
export class PrefixIndex {
    private readonly caches = new Map<string, ServerCache>();

    /** @param event - Changes of a server's cache. */
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
     * Notes blocks that a server has or will have soon, such as those of a started request.
     *
     * @param server - The server.
     * @param blocks - Digests of the blocks.
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
     * @param blocks - Blocks of the prompt, from the start.
     * @returns Expected share of the blocks that need no work, 0 to 1.
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

    /** @param server - A server that is gone. */
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
