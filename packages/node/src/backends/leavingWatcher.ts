/**
 * The task that reads the platform's host list and passes leaving notices on.
 *
 * @packageDocumentation
 */
import type { HostList, ListedHost } from "@pimentocleat/platform";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { PoolTasks } from "../dispatch/poolTasks.js";

/** Options of a {@link LeavingWatcher}. */
export interface LeavingWatcherOptions {
    readonly hosts: HostList;
    readonly tasks: PoolTasks;
    readonly clock: WaitingClock;
    readonly logger: Logger;
    readonly hostPollMs: number;
}

/** Polls the host list until it is stopped. */
export class LeavingWatcher {
    private readonly abort = new AbortController();
    private readonly noticed = new Map<string, number | undefined>();

    /** @param options - The list and the receivers of notices. */
    constructor(private readonly options: LeavingWatcherOptions) {}

    /** Starts polling. */
    async run(): Promise<void> {
        const { clock, logger, hostPollMs } = this.options;
        let failing = false;
        while (!this.abort.signal.aborted) {
            try {
                await this.pollHosts();
                failing = false;
            } catch (error) {
                if (!failing) {
                    logger.writeEvent("hostListFailed", { message: String(error) });
                }
                failing = true;
            }
            await clock.wait(hostPollMs, this.abort.signal);
        }
    }

    /** Stops polling. */
    stop(): void {
        this.abort.abort();
    }

    private async pollHosts(): Promise<void> {
        for (const host of await this.options.hosts.listHosts()) {
            if (host.role === "backend" && host.state === "leaving") {
                this.recordLeaving(host);
            }
        }
    }

    private recordLeaving(host: ListedHost): void {
        const { tasks, clock, logger } = this.options;
        if (this.noticed.has(host.address) && this.noticed.get(host.address) === host.leavesAtMs) {
            return;
        }
        this.noticed.set(host.address, host.leavesAtMs);
        const wallMs = clock.wallMs();
        const leavesAtMs = clock.monotonicMs() + Math.max(0, (host.leavesAtMs ?? wallMs) - wallMs);
        for (const task of tasks.listTasks()) {
            const server = task.pool.servers.find((candidate) => candidate.address === host.address);
            if (server !== undefined) {
                logger.writeEvent("backendLeaving", { server: server.name, pool: task.pool.name });
                task.recordLeaving({ server: server.name, leavesAtMs });
            }
        }
    }
}
