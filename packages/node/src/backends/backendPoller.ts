/**
 * Polls one backend server for its load and its cache events.
 *
 * @packageDocumentation
 */
import type { BackendServer, Pool } from "@pimentocleat/schema";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import { Client } from "undici";
import type { PoolTask } from "../dispatch/poolTask.js";
import {
    cacheAnswerSchema,
    convertCacheAnswer,
    convertLoadAnswer,
    loadAnswerSchema,
} from "./backendReports.js";

const pollTimeoutMs = 1_000;
/** Maximum interval between two polls of a failing server, in milliseconds. */
const maximumPollIntervalMs = 10_000;
/** Minimum interval between two polls while the pool is idle on this node, in milliseconds. */
const minimumIdlePollIntervalMs = 1_000;

/** Options of a {@link BackendPoller}. */
export interface BackendPollerOptions {
    readonly pool: Pool;
    readonly server: BackendServer;
    readonly task: PoolTask;
    readonly clock: WaitingClock;
    readonly logger: Logger;
    readonly loadPollMs: number;
    readonly cachePollMs: number;
    readonly readCredential: (variable: string) => string | undefined;
}

/** Polls one server until stopped; doubles the interval after each failed poll, up to a maximum. */
export class BackendPoller {
    private readonly client: Client;
    private readonly abort = new AbortController();
    private lastSequence = 0;

    /** @param options - The server, the pool task that receives its reports, and the poll intervals. */
    constructor(private readonly options: BackendPollerOptions) {
        this.client = new Client(`http://${options.server.address}`, {
            connectTimeout: pollTimeoutMs,
            headersTimeout: pollTimeoutMs,
            bodyTimeout: pollTimeoutMs,
        });
    }

    /** Starts polling. */
    start(): void {
        const { loadPollMs, cachePollMs, pool } = this.options;
        void this.runPollLoop("load", loadPollMs, () => this.pollLoad());
        if (pool.kind === "model") {
            void this.runPollLoop("cache events", cachePollMs, () => this.pollCacheEvents());
        }
    }

    /** Stops polling. */
    stop(): void {
        this.abort.abort();
        this.client.destroy().catch(() => {});
    }

    private async runPollLoop(subject: string, intervalMs: number, poll: () => Promise<void>): Promise<void> {
        const { clock, logger, server } = this.options;
        let currentIntervalMs = intervalMs;
        while (!this.abort.signal.aborted) {
            try {
                await poll();
                currentIntervalMs = intervalMs;
            } catch (error) {
                if (currentIntervalMs === intervalMs && !this.abort.signal.aborted) {
                    logger.writeEvent("backendPollFailed", {
                        server: server.name,
                        subject,
                        message: String(error),
                    });
                }
                currentIntervalMs = Math.min(currentIntervalMs * 2, maximumPollIntervalMs);
            }
            await clock.wait(this.computePollIntervalMs(currentIntervalMs), this.abort.signal);
        }
    }

    /**
     * Computes the time until the next poll. An idle pool can be polled less often: it dispatches nothing,
     * and from its first request on the node's own dispatches correct the older report.
     */
    private computePollIntervalMs(intervalMs: number): number {
        return this.options.task.isIdle() ? Math.max(intervalMs, minimumIdlePollIntervalMs) : intervalMs;
    }

    private async pollLoad(): Promise<void> {
        const answer = loadAnswerSchema.parse(await this.readJson("/load"));
        const { server, task, clock } = this.options;
        task.recordLoadReport(convertLoadAnswer(server.name, answer, clock.wallMs()));
    }

    private async pollCacheEvents(): Promise<void> {
        const answer = cacheAnswerSchema.parse(
            await this.readJson(`/cache-events?after=${this.lastSequence}`),
        );
        const { server, task } = this.options;
        const events = convertCacheAnswer(server.name, answer, this.lastSequence);
        events.forEach((event) => task.recordCacheEvent(event));
        this.lastSequence = events.at(-1)?.sequence ?? this.lastSequence;
    }

    private async readJson(path: string): Promise<unknown> {
        const { pool, readCredential } = this.options;
        const credential = pool.credentialVariable && readCredential(pool.credentialVariable);
        const headers = credential === undefined ? {} : { authorization: `Bearer ${credential}` };
        const answer = await this.client.request({ method: "GET", path, headers });
        if (answer.statusCode !== 200) {
            await answer.body.dump();
            throw new Error(`unexpected status ${answer.statusCode}; expected 200`);
        }
        return answer.body.json();
    }
}
