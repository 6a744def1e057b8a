/**
 * The task that reads the platform's host list and passes leaving notices on.
 *
 * @packageDocumentation
 */
import type { HostList, ListedHost } from "@pimentocleat/services";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { PoolTask } from "../dispatch/poolTask.js";
import type { PoolTasks } from "../dispatch/poolTasks.js";

/** Options of a {@link LeavingHostWatcher}. */
export interface LeavingHostWatcherOptions {
    readonly hosts: HostList;
    readonly tasks: PoolTasks;
    readonly clock: WaitingClock;
    readonly logger: Logger;
    readonly hostPollMs: number;
}

/** Polls the host list until it is stopped. */
export class LeavingHostWatcher {
    private readonly abort = new AbortController();
    /** What each task was told; a task or server that is configured later is told then. */
    private readonly noticed = new WeakMap<PoolTask, Map<string, number | undefined>>();

    /** @param options - The list and the receivers of notices. */
    constructor(private readonly options: LeavingHostWatcherOptions) {}

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
        for (const task of this.options.tasks.listTasks()) {
            const server = task.pool.servers.find((candidate) => candidate.address === host.address);
            if (server !== undefined && this.addNotice(task, server.name, host)) {
                this.reportLeaving(task, server.name, host);
            }
        }
    }

    /** Returns whether the notice is new to the task. */
    private addNotice(task: PoolTask, server: string, host: ListedHost): boolean {
        const noticed = this.noticed.get(task) ?? new Map<string, number | undefined>();
        this.noticed.set(task, noticed);
        const key = `${server} ${host.address}`;
        if (noticed.has(key) && noticed.get(key) === host.leavesAtMs) {
            return false;
        }
        noticed.set(key, host.leavesAtMs);
        return true;
    }

    private reportLeaving(task: PoolTask, server: string, host: ListedHost): void {
        const { clock, logger } = this.options;
        const wallMs = clock.wallMs();
        const leavesAtMs = clock.monotonicMs() + Math.max(0, (host.leavesAtMs ?? wallMs) - wallMs);
        logger.writeEvent("backendLeaving", { server, pool: task.pool.name });
        task.recordLeaving({ server, leavesAtMs });
    }
}
