/**
 * The KV cache of a running request as one engine exports and another imports it.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { Engine } from "./engine.js";

const bytesPerBlock = 4_096;

/** Answer of `GET /kv/{requestId}` and body of `POST /kv`. */
export const kvExportSchema = z.strictObject({
    requestId: z.string().min(1),
    model: z.string().min(1),
    /** Tokens of the answer that the cache covers. */
    tokens: z.int().nonnegative(),
    /** Hashes of the cached prefixes, shortest first. */
    blocks: z.array(z.string()),
    /** Stands for the cache's content. */
    sizeBytes: z.int().nonnegative(),
});

/** The KV cache of a request. */
export type KvExport = z.infer<typeof kvExportSchema>;

/**
 * Exports the KV cache of a request that runs.
 *
 * @param engine - The engine.
 * @param requestId - The request.
 * @returns The export, or undefined when the request does not run here.
 */
export function buildKvExport(engine: Engine, requestId: string): KvExport | undefined {
    const sequence = engine.scheduler.findSequence(requestId);
    if (sequence?.state !== "running") {
        return undefined;
    }
    const blocks = [...engine.cache.computeBlocks(sequence.cachedText)];
    const { model } = sequence.options;
    return { requestId, model, tokens: sequence.tokens, blocks, sizeBytes: blocks.length * bytesPerBlock };
}
