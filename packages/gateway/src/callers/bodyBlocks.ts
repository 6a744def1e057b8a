/**
 * Collects the bodies of requests in blocks that are used again. Buffers of their own would be freed only long after they
 * were given up, at the end of a garbage collection.
 *
 * @packageDocumentation
 */

/** Size of a block, in bytes. */
const blockBytes = 16 * 1_024;

/** Blocks that no body uses now. */
export class BlockPool {
    private readonly free: Buffer[] = [];

    /** @param maximumFreeBytes - Number of bytes that may be kept for later bodies. */
    constructor(private readonly maximumFreeBytes: number) {}

    /** @returns A block, whose content is not defined. */
    acquireBlock(): Buffer {
        return this.free.pop() ?? Buffer.allocUnsafeSlow(blockBytes);
    }

    /** @param blocks - Blocks whose content is not used any more. */
    releaseBlocks(blocks: readonly Buffer[]): void {
        const places = Math.max(0, this.maximumFreeBytes / blockBytes - this.free.length);
        this.free.push(...blocks.slice(0, places));
    }
}

/** The body of one request, as far as it has come. */
export class BlockCollector {
    private blocks: Buffer[] = [];
    private totalBytes = 0;

    /** @param pool - Where blocks come from. */
    constructor(private readonly pool: BlockPool) {}

    /** Number of bytes that have come. */
    get length(): number {
        return this.totalBytes;
    }

    /** Number of bytes that the body takes in memory. */
    get heldBytes(): number {
        return this.blocks.length * blockBytes;
    }

    /** @param piece - Bytes to add; they are copied. */
    append(piece: Buffer): void {
        let start = 0;
        while (start < piece.length) {
            const offset = this.totalBytes % blockBytes;
            if (offset === 0) {
                this.blocks.push(this.pool.acquireBlock());
            }
            const copied = piece.copy(this.blocks.at(-1)!, offset, start);
            start += copied;
            this.totalBytes += copied;
        }
    }

    /** @returns All bytes; afterwards none are held. */
    takeBytes(): Buffer {
        const bytes = Buffer.concat(this.blocks, this.totalBytes);
        this.clear();
        return bytes;
    }

    /** Drops all bytes. */
    clear(): void {
        this.pool.releaseBlocks(this.blocks);
        this.blocks = [];
        this.totalBytes = 0;
    }
}
