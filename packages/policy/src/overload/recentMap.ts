/**
 * A map of bounded size, which forgets the entry that was set the longest time ago.
 *
 * @packageDocumentation
 */

/** Maximum number of entries: customers and kinds of the largest deployment that is planned (230 and 35), with room. */
const maximumEntries = 512;

/** Keeps the most recently set entries. */
export class RecentMap<Value> {
    private readonly entries = new Map<string, Value>();

    /**
     * Finds an entry.
     *
     * @param key - The key.
     * @returns The value; undefined when there is none.
     */
    get(key: string): Value | undefined {
        return this.entries.get(key);
    }

    /**
     * Sets an entry, and removes the oldest one when there are too many.
     *
     * @param key - The key.
     * @param value - The value.
     */
    set(key: string, value: Value): void {
        this.entries.delete(key);
        this.entries.set(key, value);
        const [oldest] = this.entries.keys();
        if (this.entries.size > maximumEntries && oldest !== undefined) {
            this.entries.delete(oldest);
        }
    }
}
