/**
 * The request classes of a pool, and what waits in them.
 *
 * @packageDocumentation
 */
import type { WaitingDemand } from "../capacity/slotPolicy.js";
import type { WaitingEntry } from "../fairness/fairQueue.js";
import { ClassQueue } from "./classQueue.js";
import type { PoolConfiguration } from "./poolScheduler.js";

/** Keeps the classes of a pool. */
export class ClassRegistry {
    private classes = new Map<string, ClassQueue>();
    private fromLowestTier: readonly ClassQueue[] = [];
    private weights = new Map<string, number>();

    /**
     * Brings a configuration into force; classes that stay keep their queues.
     *
     * @param configuration - The new configuration.
     * @param nowMs - Monotonic time.
     */
    updateConfiguration(configuration: PoolConfiguration, nowMs: number): void {
        this.weights = new Map(configuration.customers.map(({ name, weight }) => [name, weight]));
        const previous = this.classes;
        this.classes = new Map();
        for (const settings of configuration.classes) {
            const classQueue = previous.get(settings.name) ?? this.buildClassQueue(settings, nowMs);
            classQueue.settings = settings;
            this.classes.set(settings.name, classQueue);
        }
        this.fromLowestTier = [...this.classes.values()].toSorted(
            (left, right) => right.settings.tier - left.settings.tier,
        );
    }

    /**
     * @param name - A class.
     * @returns Its state, or undefined when the configuration doesn't have it.
     */
    find(name: string): ClassQueue | undefined {
        return this.classes.get(name);
    }

    /** @returns The classes, lowest tier first. */
    listFromLowestTier(): readonly ClassQueue[] {
        return this.fromLowestTier;
    }

    /**
     * @param tier - A tier.
     * @returns Whether requests of this or a higher tier wait.
     */
    hasWaitingAtOrAbove(tier: number): boolean {
        return this.fromLowestTier.some(
            ({ settings, queue }) => settings.tier <= tier && queue.countWaiting() > 0,
        );
    }

    /** @returns The highest tier with waiting requests, and the earliest latest start of those in turn. */
    findDemand(): WaitingDemand | undefined {
        let demand: WaitingDemand | undefined;
        for (const { settings, queue, tokens } of this.fromLowestTier) {
            const latestStartMs = queue.next()?.latestStartMs;
            const isHigher = settings.tier < (demand?.tier ?? Infinity);
            if (latestStartMs !== undefined && (isHigher || latestStartMs < (demand?.latestStartMs ?? 0))) {
                demand = {
                    tier: settings.tier,
                    latestStartMs,
                    requestClass: settings.name,
                    served: queue.readLeastServed(),
                    answerTokens: tokens.readMean(),
                };
            }
        }
        return demand;
    }

    /**
     * @param nowMs - Monotonic time.
     * @returns A waiting request whose latest start has passed.
     */
    takeExpired(nowMs: number): WaitingEntry | undefined {
        for (const { deadlines } of this.fromLowestTier) {
            const entry = deadlines.takeExpired(nowMs);
            if (entry !== undefined) {
                return entry;
            }
        }
        return undefined;
    }

    /** @returns The earliest latest start of all waiting requests, in monotonic milliseconds. */
    readNextDeadlineMs(): number | undefined {
        const earliestMs = Math.min(
            ...this.fromLowestTier.map(({ deadlines }) => deadlines.readNextDeadlineMs() ?? Infinity),
        );
        return Number.isFinite(earliestMs) ? earliestMs : undefined;
    }

    private buildClassQueue(settings: ClassQueue["settings"], nowMs: number): ClassQueue {
        return new ClassQueue(settings, (customer) => this.weights.get(customer) ?? 1, nowMs);
    }
}
