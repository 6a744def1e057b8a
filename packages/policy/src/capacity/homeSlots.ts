/**
 * Assigns each slot of a pool to one owner among the nodes. The slots that a node owns are its home slots.
 *
 * @packageDocumentation
 */
import type { ServerSlots } from "./slotPolicy.js";

/**
 * Distributes the slots of a pool over its members in equal numbers, and each member's slots over as many
 * servers as possible. Slots of members that are not live go to live ones; all other members keep theirs.
 *
 * @param servers - Servers that can take work.
 * @param members - All members, in the same order on every node.
 * @param live - Members that can use slots.
 * @returns Number of slots by server, by node.
 */
export function computeHomeSlots(
    servers: readonly ServerSlots[],
    members: readonly string[],
    live: readonly string[],
): Map<string, Map<string, number>> {
    const slotServers = listSlotServers(servers);
    const liveMembers = new Set(live);
    const homes = new Map(live.map((node) => [node, new Map<string, number>()]));
    let reassigned = 0;
    slotServers.forEach((server, index) => {
        let owner = members[Math.floor((index * members.length) / slotServers.length)];
        if (owner === undefined || !liveMembers.has(owner)) {
            owner = live[reassigned % live.length];
            reassigned += 1;
        }
        const home = homes.get(owner ?? "");
        home?.set(server, (home.get(server) ?? 0) + 1);
    });
    return homes;
}

/** Lists the server of each slot, in turn over the servers, so that adjacent slots are on different servers. */
function listSlotServers(servers: readonly ServerSlots[]): string[] {
    const sorted = servers.toSorted((left, right) => (left.name < right.name ? -1 : 1));
    const maximumSlots = Math.max(0, ...sorted.map(({ slots }) => slots));
    const slotServers: string[] = [];
    for (let index = 0; index < maximumSlots; index += 1) {
        for (const { name, slots } of sorted) {
            if (index < slots) {
                slotServers.push(name);
            }
        }
    }
    return slotServers;
}
