/**
 * Draws from lists at random.
 *
 * @packageDocumentation
 */

/**
 * Chooses some of a list's items at random.
 *
 * @param items - The list.
 * @param count - Maximum number of items to choose.
 * @param random - Source of randomness, 0 to 1.
 * @returns The chosen items.
 */
export function chooseRandomItems<Item>(
    items: readonly Item[],
    count: number,
    random: () => number,
): readonly Item[] {
    const ranked = items.map((item) => ({ item, order: random() }));
    return ranked
        .sort((left, right) => left.order - right.order)
        .slice(0, count)
        .map(({ item }) => item);
}
