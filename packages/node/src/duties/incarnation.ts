/**
 * Names of incarnations of nodes, as rows in the table service hold them.
 *
 * @packageDocumentation
 */

/** A node in one incarnation; a restart is higher. */
export interface NodeIncarnation {
    readonly name: string;
    readonly incarnation: number;
}

/**
 * Formats an incarnation.
 *
 * @param node - The node.
 * @returns A text that {@link parseIncarnation} reads.
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
 * Tells whether an incarnation has been replaced by a later one, so that its process has ended. A node that
 * is merely not reached has not: it may be frozen or cut off.
 *
 * @param text - The incarnation.
 * @param present - The nodes known to be present, this one included.
 * @returns True when a later incarnation is known.
 */
export function isReplaced(text: string, present: readonly NodeIncarnation[]): boolean {
    const { name, incarnation } = parseIncarnation(text);
    return present.some((node) => node.name === name && node.incarnation > incarnation);
}
