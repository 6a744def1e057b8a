/**
 * Bounds the memory that a node spends on what it knows of the prefix caches of all engines: the process has one heap,
 * whatever the number of engines, and callers choose how many parts a prompt has.
 *
 * @packageDocumentation
 */

/** What a node knows of the prefix cache of one engine. */
export interface PartHolder {
    /** Estimated memory of its entries, in bytes. */
    readonly heldBytes: number;
    /**
     * Removes the least recently used entries.
     *
     * @param bytes - Memory that is to be freed, in bytes.
     */
    removeOldest(bytes: number): void;
}

/** Memory of all entries of a node, in bytes. */
const defaultMaximumBytes = 12 * 1_024 * 1_024;
/** Memory that one holder frees before the largest one is looked for again, in bytes. */
const stepBytes = 8 * 1_024;
/** Estimated memory of an entry beside the characters of its identifier, in bytes. */
const entryBytes = 80;

/**
 * Estimates the memory of an entry.
 *
 * @param id - Identifier of the part.
 * @returns The memory, in bytes.
 */
export function estimateEntryBytes(id: string): number {
    return entryBytes + id.length;
}

/** Sums the memory of all holders, and lets the largest ones give way when it is used up. */
export class PartMemory {
    private readonly heldBytes = new Map<PartHolder, number>();
    private totalBytes = 0;

    /** @param maximumBytes - Memory of all holders together, in bytes. */
    constructor(private readonly maximumBytes = defaultMaximumBytes) {}

    /** @returns The memory of all holders, in bytes. */
    countBytes(): number {
        return this.totalBytes;
    }

    /**
     * Records that the entries of a holder have changed, and frees memory where all holders need too much.
     *
     * @param holder - The holder.
     */
    recordChange(holder: PartHolder): void {
        this.updateHolder(holder);
        while (this.totalBytes > this.maximumBytes) {
            const largest = this.findLargest();
            if (largest === undefined) {
                return;
            }
            largest.removeOldest(stepBytes);
            this.updateHolder(largest);
        }
    }

    private updateHolder(holder: PartHolder): void {
        this.totalBytes += holder.heldBytes - (this.heldBytes.get(holder) ?? 0);
        if (holder.heldBytes > 0) {
            this.heldBytes.set(holder, holder.heldBytes);
        } else {
            this.heldBytes.delete(holder);
        }
    }

    private findLargest(): PartHolder | undefined {
        let largest: PartHolder | undefined;
        for (const holder of this.heldBytes.keys()) {
            if (largest === undefined || holder.heldBytes > largest.heldBytes) {
                largest = holder;
            }
        }
        return largest;
    }
}
