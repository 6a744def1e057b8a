/**
 * The era of a store. A store that comes back from an older copy starts a new era; what it acknowledged since the copy
 * is lost.
 *
 * @packageDocumentation
 */

/** Tells which era of the store this node knows. */
export interface EraSource {
    /** @returns The latest era that an answer to this node has named, counted from 1; 0 before, and without eras. */
    getEra(): number;
}

/** The source for stores that never come back from an older copy. */
export const noEras: EraSource = { getEra: () => 0 };
