/**
 * Incarnations of nodes, in the text form that rows of the table service contain.
 *
 * @packageDocumentation
 */

/** A node in one incarnation; the number is higher after each restart. */
export interface NodeIncarnation {
    readonly name: string;
    readonly incarnation: number;
}

/**
 * Formats an incarnation.
 *
 * @param node - The node.
 * @returns The text that {@link parseIncarnation} parses.
 */
export function formatIncarnation(node: NodeIncarnation): string {
    return `${node.name}@${String(node.incarnation)}`;
}

/**
 * Parses an incarnation.
 *
 * @param text - The text.
 * @returns The node.
 */
export function parseIncarnation(text: string): NodeIncarnation {
    const [name = "", incarnation] = text.split("@");
    return { name, incarnation: Number(incarnation) };
}

/**
 * Checks whether an incarnation has been replaced by a later one, so that its process has ended. A node that
 * is only unreachable has not been replaced: it may be suspended or partitioned.
 *
 * @param text - The incarnation.
 * @param present - The nodes known to be present, including this one.
 * @returns True when a later incarnation is known.
 */
export function isReplaced(text: string, present: readonly NodeIncarnation[]): boolean {
    const { name, incarnation } = parseIncarnation(text);
    return present.some((node) => node.name === name && node.incarnation > incarnation);
}
