/**
 * The polling tasks of all backend servers, kept in step with the configuration.
 *
 * @packageDocumentation
 */
import type { BackendServer, Configuration, Pool } from "@pimentocleat/schema";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { PoolTasks } from "../dispatch/poolTasks.js";
import { BackendPoller } from "./backendPoller.js";

/** Options of {@link BackendPollers}. */
export interface BackendPollersOptions {
    readonly tasks: PoolTasks;
    readonly clock: WaitingClock;
    readonly logger: Logger;
    readonly loadPollMs: number;
    readonly cachePollMs: number;
    readonly readCredential: (variable: string) => string | undefined;
}

/** Owns one poller a backend server. */
export class BackendPollers {
    private readonly pollers = new Map<string, BackendPoller>();

    /** @param options - Receivers of the reports and periods. */
    constructor(private readonly options: BackendPollersOptions) {}

    /**
     * Starts pollers of new servers and stops those of removed ones.
     *
     * @param configuration - The configuration in force.
     */
    applyConfiguration(configuration: Configuration): void {
        const wanted = new Set<string>();
        for (const pool of configuration.pools) {
            for (const server of pool.servers) {
                wanted.add(this.ensurePoller(pool, server));
            }
        }
        for (const [identity, poller] of this.pollers) {
            if (!wanted.has(identity)) {
                poller.stop();
                this.pollers.delete(identity);
            }
        }
    }

    /** Stops all pollers. */
    stop(): void {
        this.pollers.forEach((poller) => poller.stop());
        this.pollers.clear();
    }

    private ensurePoller(pool: Pool, server: BackendServer): string {
        const identity = [pool.name, pool.kind, pool.credentialVariable, server.name, server.address].join(
            "|",
        );
        const task = this.options.tasks.findTask(pool.name);
        if (!this.pollers.has(identity) && task !== undefined) {
            const poller = new BackendPoller({ ...this.options, pool, server, task });
            this.pollers.set(identity, poller);
            poller.start();
        }
        return identity;
    }
}
