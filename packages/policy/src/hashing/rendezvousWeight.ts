/**
 * Computes weights for rendezvous hashing. Every node computes the same weights, so nodes agree on a
 * placement without communicating.
 *
 * @packageDocumentation
 */

const hashOffset = 0x811c9dc5;
const hashPrime = 0x01000193;

/**
 * Computes a candidate's weight for a key. Uses FNV-1a followed by the final avalanche step of
 * MurmurHash3, because names that differ only in the last letter are common.
 *
 * @param key - Key of the item to place.
 * @param candidate - Name of a possible location.
 * @returns The weight; the highest is preferred.
 */
export function computeRendezvousWeight(key: string, candidate: string): number {
    let hash = hashOffset;
    for (const character of `${key}\n${candidate}`) {
        hash = Math.imul(hash ^ (character.codePointAt(0) ?? 0), hashPrime);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
