/**
 * Versions of rows across the eras of a store. A store that comes back from an older copy starts a new era, in which it
 * gives versions out again. With the era as the high part, a version of a later era is always the larger one.
 *
 * @packageDocumentation
 */

/** Number of versions of one era; the store's own counter stays below it. */
const versionsPerEra = 2 ** 40;
/** Highest era whose versions are exact numbers. */
export const maximumEra = 2 ** 12;

/**
 * Composes the version of a row or position.
 *
 * @param era - Era of the store.
 * @param counter - The store's own counter; 0 for a row that does not exist.
 * @returns The version; 0 for a row that does not exist.
 */
export function buildVersion(era: number, counter: number): number {
    return counter === 0 ? 0 : era * versionsPerEra + counter;
}

/**
 * Reads the era of a version.
 *
 * @param version - The version.
 * @returns The era; 0 for stores without eras and for a row that does not exist.
 */
export function readEra(version: number): number {
    return Math.floor(version / versionsPerEra);
}

/**
 * Reads the store's own counter of a version.
 *
 * @param version - The version.
 * @returns The counter.
 */
export function readCounter(version: number): number {
    return version % versionsPerEra;
}
