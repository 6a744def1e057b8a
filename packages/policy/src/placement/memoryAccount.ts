/**
 * The tokens that the requests in flight hold in the memory of each engine. A part of a prompt that several requests of
 * an engine share is held once.
 *
 * @packageDocumentation
 */
import type { PromptPart } from "./prefixCacheModel.js";

/** What a request holds in an engine's memory. */
export interface MemoryUse {
    /** Tokens that no other request shares: the rest of the prompt and the output. */
    readonly ownTokens: number;
    /** Shared parts of the prompt. */
    readonly shared: readonly PromptPart[];
}

interface HeldPart {
    readonly tokens: number;
    holders: number;
}

interface EngineMemory {
    tokens: number;
    requests: number;
    readonly parts: Map<string, HeldPart>;
}

/** Sums what requests hold, by engine. */
export class MemoryAccount {
    private readonly engines = new Map<string, EngineMemory>();

    /** Adds a request. */
    add(serverId: string, { ownTokens, shared }: MemoryUse): void {
        const engine = this.engines.get(serverId) ?? { tokens: 0, requests: 0, parts: new Map() };
        this.engines.set(serverId, engine);
        engine.requests += 1;
        engine.tokens += ownTokens;
        for (const { id, tokens } of shared) {
            const held = engine.parts.get(id);
            if (held === undefined) {
                engine.parts.set(id, { tokens, holders: 1 });
                engine.tokens += tokens;
            } else {
                held.holders += 1;
            }
        }
    }

    /** Removes a request that was added with the same arguments. */
    remove(serverId: string, { ownTokens, shared }: MemoryUse): void {
        const engine = this.engines.get(serverId);
        if (engine === undefined) {
            return;
        }
        engine.requests -= 1;
        engine.tokens -= ownTokens;
        for (const { id } of shared) {
            const held = engine.parts.get(id);
            if (held !== undefined) {
                held.holders -= 1;
                if (held.holders === 0) {
                    engine.parts.delete(id);
                    engine.tokens -= held.tokens;
                }
            }
        }
        if (engine.requests === 0) {
            this.engines.delete(serverId);
        }
    }

    /** Counts the tokens that are held on an engine. */
    countTokens(serverId: string): number {
        return this.engines.get(serverId)?.tokens ?? 0;
    }

    /**
     * Computes the tokens that one more request would hold on an engine.
     *
     * @param serverId - The engine.
     * @param use - What the request holds.
     * @returns The tokens; shared parts that are held already add none.
     */
    computeAddedTokens(serverId: string, { ownTokens, shared }: MemoryUse): number {
        const parts = this.engines.get(serverId)?.parts;
        let added = ownTokens;
        for (const { id, tokens } of shared) {
            added += parts?.has(id) === true ? 0 : tokens;
        }
        return added;
    }
}
