/**
 * The dispatch tasks of all pools, kept in step with the configuration.
 *
 * @packageDocumentation
 */
import { selectPoolConfiguration, type PoolConfiguration, type PoolScheduler } from "@pimentocleat/policy";
import type { Configuration } from "@pimentocleat/schema";
import type { WaitingClock } from "@pimentocleat/types";
import { PoolTask } from "./poolTask.js";

/** Builds the scheduler of a pool. */
export type SchedulerFactory = (configuration: PoolConfiguration) => PoolScheduler;

/** Options of {@link PoolTasks}. */
export interface PoolTasksOptions {
    readonly createScheduler: SchedulerFactory;
    readonly clock: WaitingClock;
    readonly onError: (error: unknown) => void;
}

/** Owns one task a pool. */
export class PoolTasks {
    private readonly tasks = new Map<string, PoolTask>();

    /** @param options - Scheduler factory and clock. */
    constructor(private readonly options: PoolTasksOptions) {}

    /**
     * Starts tasks of new pools, updates those that stay and stops those of removed pools.
     *
     * @param configuration - The configuration in force.
     */
    applyConfiguration(configuration: Configuration): void {
        const names = new Set(configuration.pools.map((pool) => pool.name));
        for (const [name, task] of this.tasks) {
            if (!names.has(name)) {
                this.tasks.delete(name);
                task.stop();
            }
        }
        for (const name of names) {
            const part = selectPoolConfiguration(configuration, name);
            if (part !== undefined) {
                this.applyPoolConfiguration(name, part);
            }
        }
    }

    /**
     * Finds a pool's task.
     *
     * @param pool - Name of the pool.
     * @returns The task, or undefined when the pool does not exist.
     */
    findTask(pool: string): PoolTask | undefined {
        return this.tasks.get(pool);
    }

    /** @returns All tasks. */
    listTasks(): readonly PoolTask[] {
        return [...this.tasks.values()];
    }

    /** Stops all tasks. */
    stop(): void {
        this.tasks.forEach((task) => task.stop());
        this.tasks.clear();
    }

    private applyPoolConfiguration(name: string, configuration: PoolConfiguration): void {
        const task = this.tasks.get(name);
        if (task !== undefined) {
            task.updateConfiguration(configuration);
            return;
        }
        const { createScheduler, clock, onError } = this.options;
        const scheduler = createScheduler(configuration);
        this.tasks.set(name, new PoolTask({ configuration, scheduler, clock, onError }));
    }
}
