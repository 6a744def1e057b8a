/**
 * A buffer for text that arrives in small pieces.
 *
 * @packageDocumentation
 */

const maximumPendingPieces = 64;

/**
 * Collects pieces of text and joins them regularly into one flat string, which needs less memory than the
 * chain of strings that repeated concatenation creates.
 */
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

    /** @returns The complete text. */
    readText(): string {
        if (this.pieces.length > 0) {
            this.joined = [this.joined, ...this.pieces].join("");
            this.pieces = [];
        }
        return this.joined;
    }
}
