/**
 * Which node owns which slot when nothing is lent.
 *
 * @packageDocumentation
 */
import type { ServerSlots } from "./slotPolicy.js";

/**
 * Deals the slots of a pool to its members in equal numbers, each member's over as many servers as
 * possible. Slots of members that are not live are dealt to live ones; all others keep theirs.
 *
 * @param servers - Servers that can take work.
 * @param members - All members, in the same order on each node.
 * @param live - Members that can use slots.
 * @returns Slots by server, by node.
 */
export function computeHomeSlots(
    servers: readonly ServerSlots[],
    members: readonly string[],
    live: readonly string[],
): Map<string, Map<string, number>> {
    const sequence = listSlots(servers);
    const liveMembers = new Set(live);
    const homes = new Map(live.map((node) => [node, new Map<string, number>()]));
    let inherited = 0;
    sequence.forEach((server, index) => {
        let owner = members[Math.floor((index * members.length) / sequence.length)];
        if (owner === undefined || !liveMembers.has(owner)) {
            owner = live[inherited % live.length];
            inherited += 1;
        }
        const home = homes.get(owner ?? "");
        home?.set(server, (home.get(server) ?? 0) + 1);
    });
    return homes;
}

/** Lists one slot of each server in turn, so that neighbours in the list are on different servers. */
function listSlots(servers: readonly ServerSlots[]): string[] {
    const sorted = servers.toSorted((left, right) => (left.name < right.name ? -1 : 1));
    const most = Math.max(0, ...sorted.map(({ slots }) => slots));
    const sequence: string[] = [];
    for (let index = 0; index < most; index += 1) {
        for (const { name, slots } of sorted) {
            if (index < slots) {
                sequence.push(name);
            }
        }
    }
    return sequence;
}
