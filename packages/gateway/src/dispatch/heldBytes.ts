/**
 * Counts what a node holds of the bodies of all its requests, or of their responses.
 *
 * @packageDocumentation
 */

/** Bytes that a node holds of all responses before it passes them on early; part of its memory beside the program's. */
export const maximumHeldAnswerBytes = 16 * 1_024 * 1_024;

/** Bytes that are held for all requests of a node. */
export class HeldBytes {
    private total = 0;

    /** @param maximumBytes - Bytes from which on no more should be held. */
    constructor(private readonly maximumBytes: number) {}

    /** @returns Whether nothing more should be held. */
    isFull(): boolean {
        return this.total >= this.maximumBytes;
    }

    /**
     * Checks whether more may be held.
     *
     * @param bytes - Number of bytes that are to be held besides.
     * @returns Whether there is room for them.
     */
    hasRoom(bytes: number): boolean {
        return this.total + bytes <= this.maximumBytes;
    }

    /** @returns The share of one request, which starts with nothing held. */
    openShare(): HeldShare {
        let shareBytes = 0;
        return {
            setBytes: (bytes) => {
                this.total += bytes - shareBytes;
                shareBytes = bytes;
            },
        };
    }
}

/** What one request holds. */
export interface HeldShare {
    /** @param bytes - Bytes that the request holds now. */
    setBytes(bytes: number): void;
}
