/**
 * A network that loses and delays messages, with seeded chances.
 *
 * @packageDocumentation
 */
import { createRandom } from "@pimentocleat/policy";
import type { ManualClock } from "@pimentocleat/types";
import type { SimulatedHost } from "./simulatedHost.js";

/** The chances and delays of a {@link SimulatedNetwork}. */
export interface NetworkTraits {
    readonly seed: number;
    /** Share of the messages among nodes that are lost. */
    readonly lossShare: number;
    /** Maximum delay of a message among nodes, in milliseconds. */
    readonly maximumDelayMs: number;
    /** Share of the requests to, and answers of, the table service that are late. */
    readonly lateShare: number;
    /** Maximum delay of a late request or answer, in milliseconds. */
    readonly maximumLateMs: number;
}

/** Carries the messages among nodes, and delays their calls. */
export class SimulatedNetwork {
    private readonly random: () => number;

    constructor(
        private readonly clock: ManualClock,
        private readonly traits: NetworkTraits,
    ) {
        this.random = createRandom(traits.seed);
    }

    /** Draws a number from 0 to 1 for a decision of a node. */
    draw(): number {
        return this.random();
    }

    /** Sends a message that may be lost or late; a host that is frozen when it arrives does not receive it. */
    sendMessage(target: SimulatedHost, receive: () => void): void {
        const isLost = this.random() < this.traits.lossShare;
        const delayMs = this.random() * this.traits.maximumDelayMs;
        if (!isLost) {
            void this.clock.wait(delayMs).then(() => (target.isFrozen ? undefined : receive()));
        }
    }

    /** Waits while a request to the table service, or its answer, is on its way. */
    async waitInTransit(): Promise<void> {
        const isLate = this.random() < this.traits.lateShare;
        const delayMs = this.random() * this.traits.maximumLateMs;
        await this.clock.wait(isLate ? delayMs : 0);
    }
}
