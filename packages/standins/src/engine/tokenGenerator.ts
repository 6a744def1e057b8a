/**
 * Generates deterministic answers: a token depends only on the model, the prompt, the seed and its position.
 *
 * @packageDocumentation
 */

const vocabularySize = 1_024;
const consonants = ["b", "d", "f", "g", "l", "m", "n", "p", "r", "s", "t", "v", "z", "ch", "tr", "st"];
const vowels = ["a", "e", "i", "o"];
const syllableCount = consonants.length * vowels.length;
const vocabulary = Array.from({ length: vocabularySize }, (...[, index]) => buildWord(index));
const spacedVocabulary = vocabulary.map((word) => ` ${word}`);

/** Inputs that determine an answer. */
export interface GenerationSource {
    readonly model: string;
    readonly prompt: string;
    readonly seed: number;
}

/** Generates the tokens of one answer. */
export class TokenGenerator {
    private readonly hash: number;

    /**
     * @param source - Inputs that determine the answer.
     */
    constructor(source: GenerationSource) {
        this.hash = computeHash(`${source.model}\n${source.seed}\n${source.prompt}`);
    }

    /**
     * Generates one token.
     *
     * @param position - Position in the answer, starting at 0.
     * @returns Text of the token, with a leading space except for the first token.
     */
    buildToken(position: number): string {
        const index = computeBitMix(this.hash ^ Math.imul(position + 1, 0x9e3779b1)) & (vocabularySize - 1);
        return (position === 0 ? vocabulary[index] : spacedVocabulary[index]) as string;
    }

    /**
     * Generates the first tokens of the answer.
     *
     * @param count - Number of tokens.
     * @returns Text of the tokens.
     */
    buildText(count: number): string {
        return Array.from({ length: count }, (...[, position]) => this.buildToken(position)).join("");
    }

    /**
     * Computes the length at which the model would end its answer.
     *
     * @param mean - Mean length, in tokens.
     * @returns The length, from 1 to twice the mean, in tokens.
     */
    computeLength(mean: number): number {
        return 1 + (computeBitMix(this.hash) % (2 * mean));
    }
}

/**
 * Counts the tokens of a text; each word separated by white space is one token.
 *
 * @param text - The text.
 * @returns The number of tokens.
 */
export function countTokens(text: string): number {
    return text.match(/\S+/g)?.length ?? 0;
}

function buildWord(index: number): string {
    const first = buildSyllable(index % syllableCount);
    return first + buildSyllable(Math.floor(index / syllableCount) * vowels.length + (index % vowels.length));
}

function buildSyllable(index: number): string {
    const consonant = consonants[Math.floor(index / vowels.length) % consonants.length] as string;
    return consonant + (vowels[index % vowels.length] as string);
}

/** Computes the FNV-1a hash of a text's UTF-16 code units. */
function computeHash(text: string): number {
    let hash = 0x811c9dc5;
    for (let position = 0; position < text.length; position += 1) {
        hash = Math.imul(hash ^ text.charCodeAt(position), 0x01000193);
    }
    return hash;
}

/** Mixes the bits of a value as the finalizer of MurmurHash3 does. */
function computeBitMix(value: number): number {
    const first = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
    const second = Math.imul(first ^ (first >>> 13), 0xc2b2ae35);
    return (second ^ (second >>> 16)) >>> 0;
}
