/**
 * What the prefix cache of one engine probably holds, from the requests that were sent there.
 *
 * @packageDocumentation
 */

/** One part of a prompt, in the order of the prompt. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Remembers parts, the least recently used of which yield first, as in the engine. */
export class PrefixCacheModel {
    private readonly parts = new Map<string, number>();
    private cachedTokens = 0;

    /** @param capacityTokens - Tokens that the engine keeps at the most. */
    constructor(private capacityTokens: number) {}

    /** @param capacityTokens - Tokens that the engine keeps from now on. */
    updateCapacity(capacityTokens: number): void {
        this.capacityTokens = capacityTokens;
    }

    /**
     * Counts the tokens at the start of a prompt that need not be read again.
     *
     * @param parts - The prompt.
     * @returns Tokens of the leading parts that are held without a gap.
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

    /** @param parts - A prompt that the engine has read or will read. */
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

    /** Forgets everything, as an engine that started again. */
    clear(): void {
        this.parts.clear();
        this.cachedTokens = 0;
    }
}
