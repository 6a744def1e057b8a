/**
 * A hash ring: assigns each key to a few of many names without a central list. A name that joins or leaves moves only
 * the keys next to it.
 *
 * @packageDocumentation
 */
import { computeRendezvousWeight } from "./rendezvousWeight.js";

/** Key under which names are placed on the ring. */
const nameKey = "ring";

/** Places names on a ring, and finds the names that follow a key. */
export class HashRing {
    private readonly places: readonly { readonly name: string; readonly place: number }[];

    /** @param names - All names, in any order. */
    constructor(names: readonly string[]) {
        this.places = names
            .map((name) => ({ name, place: computeRendezvousWeight(nameKey, name) }))
            .sort((left, right) => left.place - right.place || left.name.localeCompare(right.name));
    }

    /**
     * Lists the names that follow a key on the ring.
     *
     * @param key - The key.
     * @param count - Maximum number of names.
     * @returns The names, the nearest first; fewer when the ring holds fewer.
     */
    listSuccessors(key: string, count: number): readonly string[] {
        const { places } = this;
        const start = this.findFirstAfter(computeRendezvousWeight(key, nameKey));
        return places
            .slice(start, start + count)
            .concat(places.slice(0, Math.max(0, Math.min(start, start + count - places.length))))
            .map(({ name }) => name);
    }

    private findFirstAfter(place: number): number {
        let low = 0;
        let high = this.places.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (this.places[middle]!.place < place) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
