/**
 * Collects bytes that arrive in pieces.
 *
 * @packageDocumentation
 */

/** Minimum size of a piece that is kept as it is, in bytes; smaller ones cost more to hold than their bytes. */
const minimumKeptBytes = 4 * 1_024;
/** Minimum and maximum size of the blocks into which smaller pieces are copied, in bytes. */
const minimumBlockBytes = 1_024;
const maximumBlockBytes = 64 * 1_024;

/** Holds pieces of any size at about the cost of their bytes. */
export class ByteCollector {
    private pieces: Buffer[] = [];
    /** What is free of the block to which small pieces are copied next, after the bytes that are already there. */
    private block = Buffer.alloc(0);
    private usedBytes = 0;
    private totalBytes = 0;

    /** Number of bytes that are held. */
    get length(): number {
        return this.totalBytes;
    }

    /** @param piece - Bytes to add; they must not change afterwards. */
    append(piece: Buffer): void {
        const isOnly = this.totalBytes === 0;
        this.totalBytes += piece.length;
        if (isOnly || piece.length >= minimumKeptBytes) {
            this.finishBlock();
            this.pieces.push(piece);
            return;
        }
        if (this.usedBytes + piece.length > this.block.length) {
            this.finishBlock();
            const blockBytes = Math.min(maximumBlockBytes, Math.max(minimumBlockBytes, this.totalBytes));
            this.block = Buffer.allocUnsafe(Math.max(blockBytes, piece.length));
        }
        this.usedBytes += piece.copy(this.block, this.usedBytes);
    }

    /** @returns All bytes in the order in which they were added; afterwards none are held. */
    takeBytes(): Buffer {
        this.finishBlock();
        const [first] = this.pieces;
        const bytes =
            this.pieces.length === 1 && first !== undefined
                ? first
                : Buffer.concat(this.pieces, this.totalBytes);
        this.pieces = [];
        this.block = Buffer.alloc(0);
        this.totalBytes = 0;
        return bytes;
    }

    private finishBlock(): void {
        if (this.usedBytes > 0) {
            this.pieces.push(this.block.subarray(0, this.usedBytes));
            this.block = this.block.subarray(this.usedBytes);
            this.usedBytes = 0;
        }
    }
}
