/**
 * Holds the response of one attempt until it can be checked or has to be passed on.
 *
 * @packageDocumentation
 */
import { ByteCollector } from "@pimentocleat/types";
import type { HeldBytes, HeldShare } from "./heldBytes.js";

/** Responses above this size are streamed to the caller; smaller ones are buffered and checked first. */
const maximumBufferedBytes = 256 * 1_024;
/** Size up to which a response is held also while the node holds too much, in bytes; most responses are smaller. */
const minimumYieldedBytes = 16 * 1_024;

/** Buffers a response within the bounds of one response and of all that the node holds. */
export class AnswerBuffer {
    private readonly body = new ByteCollector();
    private readonly share: HeldShare;

    /** @param held - What the node holds of the responses of all requests. */
    constructor(private readonly held: HeldBytes) {
        this.share = held.openShare();
    }

    /**
     * Adds a part of the body.
     *
     * @param chunk - The bytes.
     * @returns Whether the response is too large to be held any longer.
     */
    addChunk(chunk: Buffer): boolean {
        this.body.append(chunk);
        return this.body.length > maximumBufferedBytes || !this.hasRoom(this.body.length);
    }

    /**
     * Counts bytes that are held for this response, here or as an incomplete event, and checks whether they may be.
     *
     * @param bytes - Number of bytes.
     * @returns False when this response has to give way because the node holds too much for all of them.
     */
    hasRoom(bytes: number): boolean {
        this.share.setBytes(bytes);
        return bytes <= minimumYieldedBytes || !this.held.isFull();
    }

    /** @returns The bytes that were added; afterwards none are held. */
    takeBytes(): Buffer {
        this.clear();
        return this.body.takeBytes();
    }

    /** Ends the count of what is held for this response. */
    clear(): void {
        this.share.setBytes(0);
    }
}
