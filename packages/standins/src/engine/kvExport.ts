/**
 * Transfer format of the KV cache of a running request, which one engine exports and another imports.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { Engine } from "./engine.js";

const bytesPerBlock = 4_096;

/** Response of `GET /kv/{requestId}` and body of `POST /kv`. */
export const kvExportSchema = z.strictObject({
    requestId: z.string().min(1),
    model: z.string().min(1),
    /** Number of tokens of the answer that the cache covers. */
    tokens: z.int().nonnegative(),
    /** Block hashes of the cached prefixes, shortest prefix first. */
    blocks: z.array(z.string()),
    /** Simulated size of the cache content, which is not transferred. */
    sizeBytes: z.int().nonnegative(),
});

/** The exported KV cache of a request. */
export type KvExport = z.infer<typeof kvExportSchema>;

/**
 * Builds the export of the KV cache of a running request.
 *
 * @param engine - Engine that runs the request.
 * @param requestId - Identifier of the request.
 * @returns The export, or undefined when the engine isn't running the request.
 */
export function buildKvExport(engine: Engine, requestId: string): KvExport | undefined {
    const sequence = engine.scheduler.findSequence(requestId);
    if (sequence?.state !== "running") {
        return undefined;
    }
    const blocks = [...engine.cache.computeBlocks(sequence.cachedText)];
    const { model } = sequence.options;
    return {
        requestId,
        model,
        tokens: sequence.completionTokens,
        blocks,
        sizeBytes: blocks.length * bytesPerBlock,
    };
}
