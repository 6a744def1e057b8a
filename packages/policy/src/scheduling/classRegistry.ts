/**
 * The request classes of a pool and their queues.
 *
 * @packageDocumentation
 */
import type { WaitingDemand } from "../capacity/slotPolicy.js";
import type { WaitingEntry } from "../fairness/fairQueue.js";
import { ClassQueue } from "./classQueue.js";
import type { PoolConfiguration } from "./poolScheduler.js";

/** Holds the request classes of a pool and finds their most urgent waiting requests. */
export class ClassRegistry {
    private classes = new Map<string, ClassQueue>();
    private fromLowestTier: readonly ClassQueue[] = [];
    private weights = new Map<string, number>();

    /**
     * Applies a configuration. Classes that remain in it keep their queues and estimates.
     *
     * @param configuration - The new configuration.
     * @param nowMs - The monotonic time, in milliseconds.
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
     * Finds a class by name.
     *
     * @param name - The class name.
     * @returns The state of the class, or undefined when the configuration has no such class.
     */
    find(name: string): ClassQueue | undefined {
        return this.classes.get(name);
    }

    /** @returns All classes, lowest tier (highest number) first. */
    listFromLowestTier(): readonly ClassQueue[] {
        return this.fromLowestTier;
    }

    /**
     * Checks whether a tier has competing requests in the queue.
     *
     * @param tier - The tier.
     * @returns Whether any request of this or a higher tier is waiting.
     */
    hasWaitingAtOrAbove(tier: number): boolean {
        return this.fromLowestTier.some(
            ({ settings, queue }) => settings.tier <= tier && queue.countWaiting() > 0,
        );
    }

    /**
     * Finds the most urgent demand.
     *
     * @returns The highest tier with waiting requests, with the earliest start deadline among the requests at the
     * head of its queues; undefined when nothing is waiting.
     */
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
     * Takes a waiting request whose start deadline has passed.
     *
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The request, or undefined when no start deadline has passed.
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

    /** @returns The earliest start deadline of all waiting requests, in monotonic milliseconds. */
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
