/**
 * A model of the prefix cache of one engine, derived from the requests that were sent to it.
 *
 * @packageDocumentation
 */

/** One part of a prompt; the parts of a prompt are listed in order. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/**
 * Estimates which prompt parts an engine has cached. Evicts the least recently used parts first, as the engine does.
 */
export class PrefixCacheModel {
    private readonly parts = new Map<string, number>();
    private cachedTokens = 0;

    /** @param capacityTokens - The capacity of the cache, in tokens. */
    constructor(private capacityTokens: number) {}

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
            this.cachedTokens += tokens - (this.parts.get(id) ?? 0);
            this.parts.delete(id);
            this.parts.set(id, tokens);
        }
        for (const [id, tokens] of this.parts) {
            if (this.cachedTokens <= this.capacityTokens) {
                break;
            }
            this.parts.delete(id);
            this.cachedTokens -= tokens;
        }
    }

    /** Clears the model, because a restarted engine has an empty cache. */
    clear(): void {
        this.parts.clear();
        this.cachedTokens = 0;
    }
}
