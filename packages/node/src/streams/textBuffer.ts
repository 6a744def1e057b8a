/**
 * Text that grows by small pieces.
 *
 * @packageDocumentation
 */

const maximumPendingPieces = 64;

/** Collects pieces and keeps them as one flat string, which needs less memory than a chain. */
export class TextBuffer {
    private joined = "";
    private pieces: string[] = [];

    /** @param piece - Text to append. */
    addPiece(piece: string): void {
        this.pieces.push(piece);
        if (this.pieces.length >= maximumPendingPieces) {
            this.readText();
        }
    }

    /** @returns The whole text. */
    readText(): string {
        if (this.pieces.length > 0) {
            this.joined = [this.joined, ...this.pieces].join("");
            this.pieces = [];
        }
        return this.joined;
    }
}
