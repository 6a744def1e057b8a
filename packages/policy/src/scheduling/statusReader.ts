/**
 * Snapshots of a pool for other nodes and for operators.
 *
 * @packageDocumentation
 */
import type { PoolState } from "./poolState.js";
import type { PoolStatus, PoolSummary, ServerStatus } from "./poolScheduler.js";
import type { RoutedServer } from "../routing/serverRouter.js";

/** A class whose last start is older than this is left out of `sinceStartMs`. */
const maximumReportedStartAgeMs = 20_000;

/** Builds summaries and status snapshots from the state of a pool. */
export class StatusReader {
    private sequence = 0;

    constructor(
        private readonly node: string,
        private readonly state: PoolState,
    ) {}

    /**
     * Builds a summary of the pool for the other nodes. Each call increments the sequence number.
     *
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The summary.
     */
    summarizePool(nowMs: number): PoolSummary {
        this.sequence += 1;
        const waiting: Record<string, number> = {};
        const demand: Record<string, number> = {};
        const sinceStartMs: Record<string, number> = {};
        for (const { settings, queue, offered, lastStartMs } of this.state.classes.listFromLowestTier()) {
            waiting[settings.name] = queue.countWaiting();
            if (nowMs - lastStartMs < maximumReportedStartAgeMs) {
                sinceStartMs[settings.name] = nowMs - lastStartMs;
            }
            demand[settings.name] = offered.readPerSecond(nowMs);
        }
        const requestDemand = this.state.classes.findDemand();
        const isFloorOwed = this.state.order.findOwedClass() !== undefined;
        const servers = [...this.state.router.listServers()];
        return {
            pool: this.state.readPoolName(),
            node: this.node,
            sequence: this.sequence,
            waiting,
            urgentClass: requestDemand?.requestClass,
            urgentServed: requestDemand?.served,
            starts: this.state.floors.summarizeStarts(),
            sinceStartMs,
            slackMs: requestDemand === undefined ? undefined : requestDemand.latestStartMs - nowMs,
            running: Object.fromEntries(servers.map(({ settings, running }) => [settings.name, running])),
            demand,
            servedTokens: this.state.running.takeServedTokens(),
            stragglers: servers
                .filter(({ health }) => health.isStraggler())
                .map(({ settings }) => settings.name),
            ...this.state.slots.summarizeSlots(requestDemand, isFloorOwed, this.sequence),
        };
    }

    /** Builds a status snapshot for operators. */
    readStatus(nowMs: number): PoolStatus {
        return {
            waiting: this.state.waiting.count(),
            running: this.state.running.count(),
            servers: [...this.state.router.listServers()].map((server) => readServerStatus(server, nowMs)),
        };
    }
}

function readServerStatus(server: RoutedServer, nowMs: number): ServerStatus {
    return {
        name: server.settings.name,
        running: server.running,
        slots: server.settings.slots,
        state: server.health.readCondition(nowMs),
    };
}
