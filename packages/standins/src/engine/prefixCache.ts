/**
 * The prefix cache of the engine: limited in size, evicting the least recently used blocks.
 *
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import type { CacheEventLog } from "./cacheEventLog.js";

const hashDigits = 16;

/** Settings of {@link PrefixCache}. */
export interface PrefixCacheOptions {
    /** Maximum number of blocks; 0 disables the cache. */
    readonly capacity: number;
    /** Number of characters per block. */
    readonly blockCharacters: number;
    /** Log that records stored and evicted blocks. */
    readonly events: CacheEventLog;
}

/** Caches blocks of prefixes and evicts the least recently used. */
export class PrefixCache {
    /** Block hashes, least recently used first. */
    private readonly blocks = new Set<string>();

    /**
     * @param options - Settings.
     */
    constructor(private readonly options: PrefixCacheOptions) {}

    /** @returns The number of cached blocks. */
    countBlocks(): number {
        return this.blocks.size;
    }

    /**
     * Computes the block hashes of a text.
     *
     * @param text - The text.
     * @returns One hash for each complete block, which covers the text up to the end of the block; an empty array
     * when the cache is disabled.
     */
    computeBlocks(text: string): readonly string[] {
        return this.options.capacity === 0 ? [] : computePrefixBlocks(text, this.options.blockCharacters);
    }

    /**
     * Stores all blocks of a text, marks them as used and returns how much of the text was cached before.
     *
     * @param text - The text.
     * @returns The number of leading characters that were already cached.
     */
    storePrefix(text: string): number {
        const blocks = this.computeBlocks(text);
        const firstMissing = blocks.findIndex((block) => !this.blocks.has(block));
        const cachedCount = firstMissing === -1 ? blocks.length : firstMissing;
        this.storeBlocks(blocks);
        return cachedCount * this.options.blockCharacters;
    }

    /**
     * Stores blocks and marks them as used.
     *
     * @param blocks - Block hashes, shortest prefix first.
     */
    storeBlocks(blocks: readonly string[]): void {
        const added = blocks.filter((block) => !this.blocks.has(block));
        for (const block of blocks) {
            this.blocks.delete(block);
            this.blocks.add(block);
        }
        if (added.length > 0) {
            this.options.events.addEvent("stored", added);
        }
        this.removeLeastRecentlyUsed();
    }

    private removeLeastRecentlyUsed(): void {
        const excess = this.blocks.size - this.options.capacity;
        if (excess <= 0) {
            return;
        }
        const evicted = [...this.blocks].slice(0, excess);
        evicted.forEach((block) => this.blocks.delete(block));
        this.options.events.addEvent("evicted", evicted);
    }
}

/**
 * Computes the block hashes of a text.
 *
 * @param text - The text.
 * @param blockCharacters - Number of characters per block.
 * @returns For each complete block the first 16 hexadecimal digits of the SHA-256 hash of the prefix that ends
 * with it.
 */
export function computePrefixBlocks(text: string, blockCharacters: number): readonly string[] {
    const hash = createHash("sha256");
    const blocks: string[] = [];
    for (let end = blockCharacters; end <= text.length; end += blockCharacters) {
        hash.update(text.slice(end - blockCharacters, end));
        blocks.push(hash.copy().digest("hex").slice(0, hashDigits));
    }
    return blocks;
}
