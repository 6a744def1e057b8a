/**
 * Runs one poller for each backend server of the configuration.
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

/** Owns the pollers of all backend servers. */
export class BackendPollers {
    private readonly pollers = new Map<string, BackendPoller>();

    /** @param options - The pool tasks that receive the reports, and the poll intervals. */
    constructor(private readonly options: BackendPollersOptions) {}

    /**
     * Starts pollers for new servers and stops those of removed servers.
     *
     * @param configuration - The active configuration.
     */
    applyConfiguration(configuration: Configuration): void {
        const configured = new Set<string>();
        for (const pool of configuration.pools) {
            for (const server of pool.servers) {
                configured.add(this.ensurePoller(pool, server));
            }
        }
        for (const [identity, poller] of this.pollers) {
            if (!configured.has(identity)) {
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
