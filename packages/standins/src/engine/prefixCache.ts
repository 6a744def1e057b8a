/**
 * The engine's limited cache of prompt prefixes.
 *
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import type { CacheEventLog } from "./cacheEventLog.js";

const hashLength = 16;

/** Settings of the cache. */
export interface PrefixCacheOptions {
    /** Most blocks. */
    readonly capacity: number;
    /** Characters of a block. */
    readonly blockCharacters: number;
    readonly events: CacheEventLog;
}

/** Holds blocks of prefixes; the least recently used go first. */
export class PrefixCache {
    private readonly blocks = new Set<string>();

    /**
     * @param options - Settings.
     */
    constructor(private readonly options: PrefixCacheOptions) {}

    /** @returns Number of blocks held. */
    countBlocks(): number {
        return this.blocks.size;
    }

    /**
     * Computes the blocks of a text.
     *
     * @param text - The text.
     * @returns One hash for each whole block; it covers the text from its start to the block's end.
     */
    computeBlocks(text: string): readonly string[] {
        return this.options.capacity === 0 ? [] : computePrefixBlocks(text, this.options.blockCharacters);
    }

    /**
     * Finds how much of a text is cached, stores all of it and marks it as used.
     *
     * @param text - The text.
     * @returns Number of leading characters that were cached.
     */
    storePrefix(text: string): number {
        const wanted = this.computeBlocks(text);
        const firstMissing = wanted.findIndex((block) => !this.blocks.has(block));
        const cached = firstMissing === -1 ? wanted.length : firstMissing;
        this.storeBlocks(wanted);
        return cached * this.options.blockCharacters;
    }

    /**
     * Stores blocks and marks them as used.
     *
     * @param blocks - Their hashes, shortest prefix first.
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
 * Computes the hashes of a text's prefixes.
 *
 * @param text - The text.
 * @param blockCharacters - Characters of a block.
 * @returns For each whole block the first 16 hexadecimal digits of the SHA-256 of the prefix that it ends.
 */
export function computePrefixBlocks(text: string, blockCharacters: number): readonly string[] {
    const hash = createHash("sha256");
    const blocks: string[] = [];
    for (let end = blockCharacters; end <= text.length; end += blockCharacters) {
        hash.update(text.slice(end - blockCharacters, end));
        blocks.push(hash.copy().digest("hex").slice(0, hashLength));
    }
    return blocks;
}
