/**
 * Polls the platform's host list and forwards notices of leaving backend servers to the pool tasks.
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

/** Polls the host list until stopped and forwards each new leaving notice to the server's pool tasks. */
export class LeavingHostWatcher {
    private readonly abort = new AbortController();
    /**
     * Departure time of each notice that a task received, by server and address. A task or server that is
     * configured later has no entry, so that the next poll notifies it.
     */
    private readonly notices = new WeakMap<PoolTask, Map<string, number | undefined>>();

    /** @param options - The host list and the tasks that receive its notices. */
    constructor(private readonly options: LeavingHostWatcherOptions) {}

    /** Polls until {@link LeavingHostWatcher.stop} is called; logs only the first of consecutive failures. */
    async run(): Promise<void> {
        const { clock, logger, hostPollMs } = this.options;
        let isFailing = false;
        while (!this.abort.signal.aborted) {
            try {
                await this.pollHosts();
                isFailing = false;
            } catch (error) {
                if (!isFailing) {
                    logger.writeEvent("hostListFailed", { message: String(error) });
                }
                isFailing = true;
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
                this.forwardNotice(host);
            }
        }
    }

    private forwardNotice(host: ListedHost): void {
        for (const task of this.options.tasks.listTasks()) {
            const server = task.pool.servers.find((candidate) => candidate.address === host.address);
            if (server !== undefined && this.recordNotice(task, server.name, host)) {
                this.sendNotice(task, server.name, host);
            }
        }
    }

    /** Records a notice; returns false when the task already received it with the same departure time. */
    private recordNotice(task: PoolTask, server: string, host: ListedHost): boolean {
        const notices = this.notices.get(task) ?? new Map<string, number | undefined>();
        this.notices.set(task, notices);
        const key = `${server} ${host.address}`;
        if (notices.has(key) && notices.get(key) === host.leavesAtMs) {
            return false;
        }
        notices.set(key, host.leavesAtMs);
        return true;
    }

    /** Sends a notice with its departure time on the monotonic clock; a host without one leaves immediately. */
    private sendNotice(task: PoolTask, server: string, host: ListedHost): void {
        const { clock, logger } = this.options;
        const wallMs = clock.wallMs();
        const leavesAtMs = clock.monotonicMs() + Math.max(0, (host.leavesAtMs ?? wallMs) - wallMs);
        logger.writeEvent("backendLeaving", { server, pool: task.pool.name });
        task.recordLeaving({ server, leavesAtMs });
    }
}
