/**
 * A model of the prefix cache of one engine, derived from the requests that were sent to it.
 *
 * @packageDocumentation
 */

import { estimateEntryBytes, PartMemory, type PartHolder } from "./partMemory.js";

/** One part of a prompt; the parts of a prompt are listed in order. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/**
 * Estimates which prompt parts an engine has cached. Evicts the least recently used parts first, as the engine does.
 */
export class PrefixCacheModel implements PartHolder {
    /** Tokens by part, the least recently used part first. */
    private readonly parts = new Map<string, number>();
    private cachedTokens = 0;
    private entryBytes = 0;

    /**
     * @param capacityTokens - The capacity of the cache, in tokens.
     * @param memory - Bounds the memory of the models of all engines.
     */
    constructor(
        private capacityTokens: number,
        private readonly memory = new PartMemory(),
    ) {}

    get heldBytes(): number {
        return this.entryBytes;
    }

    /**
     * Changes the capacity. Parts in excess of it are evicted when the next prompt is recorded.
     *
     * @param capacityTokens - The new capacity, in tokens.
     */
    updateCapacity(capacityTokens: number): void {
        this.capacityTokens = capacityTokens;
    }

    /**
     * Counts the tokens of a prompt's cached prefix, for which the engine can skip prefill.
     *
     * @param parts - The parts of the prompt.
     * @returns The tokens of the leading parts up to the first that isn't cached.
     */
    countCachedTokens(parts: readonly PromptPart[]): number {
        let tokens = 0;
        for (const part of parts) {
            if (!this.parts.has(part.id)) {
                break;
            }
            tokens += part.tokens;
        }
        return tokens;
    }

    /**
     * Records a prompt that the engine processes, and evicts parts beyond the capacity.
     *
     * @param parts - The parts of the prompt.
     */
    recordParts(parts: readonly PromptPart[]): void {
        for (const { id, tokens } of parts) {
            this.removePart(id);
            this.parts.set(id, tokens);
            this.cachedTokens += tokens;
            this.entryBytes += estimateEntryBytes(id);
        }
        for (const id of this.parts.keys()) {
            if (this.cachedTokens <= this.capacityTokens) {
                break;
            }
            this.removePart(id);
        }
        this.memory.recordChange(this);
    }

    removeOldest(bytes: number): void {
        const remainingBytes = this.entryBytes - bytes;
        for (const id of this.parts.keys()) {
            if (this.entryBytes <= remainingBytes) {
                break;
            }
            this.removePart(id);
        }
    }

    /** Clears the model, because the engine has left or has restarted with an empty cache. */
    clear(): void {
        this.parts.clear();
        this.cachedTokens = 0;
        this.entryBytes = 0;
        this.memory.recordChange(this);
    }

    private removePart(id: string): void {
        const tokens = this.parts.get(id);
        if (tokens !== undefined) {
            this.parts.delete(id);
            this.cachedTokens -= tokens;
            this.entryBytes -= estimateEntryBytes(id);
        }
    }
}
