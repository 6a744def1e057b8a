/**
 * Chooses which updates to piggyback on the next message. Each update is sent a number of times that grows
 * with the logarithm of the member count; the updates sent least often go first.
 *
 * @packageDocumentation
 */

interface Rumor<Update> {
    readonly update: Update;
    transmissions: number;
}

/** Queues updates by key; a new update of a key replaces the older one. */
export class RumorQueue<Update> {
    private readonly rumors = new Map<string, Rumor<Update>>();

    /** Adds an update or replaces the one with the same key, which identifies the subject of the update. */
    addRumor(key: string, update: Update): void {
        this.rumors.set(key, { update, transmissions: 0 });
    }

    /**
     * Takes the updates for one message.
     *
     * @param limit - Maximum number of updates in the message.
     * @param memberCount - Number of members that the updates should reach.
     * @returns The updates, those sent least often first.
     */
    takeRumors(limit: number, memberCount: number): Update[] {
        const transmissionLimit = computeTransmissionLimit(memberCount);
        const entries = [...this.rumors.entries()];
        entries.sort(([, left], [, right]) => left.transmissions - right.transmissions);
        const chosen = entries.slice(0, limit);
        for (const [key, rumor] of chosen) {
            rumor.transmissions += 1;
            if (rumor.transmissions >= transmissionLimit) {
                this.rumors.delete(key);
            }
        }
        return chosen.map(([, rumor]) => rumor.update);
    }

    /** @returns Number of updates that are still being sent. */
    countRumors(): number {
        return this.rumors.size;
    }
}

const transmissionFactor = 3;

/**
 * Computes how many times an update is sent before it is dropped.
 *
 * @param memberCount - Number of members.
 * @returns The number of transmissions, at least 3.
 */
export function computeTransmissionLimit(memberCount: number): number {
    return Math.max(transmissionFactor, Math.ceil(transmissionFactor * Math.log2(memberCount + 1)));
}
