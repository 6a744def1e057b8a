/**
 * Counts what a node holds of the responses of all its requests.
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
