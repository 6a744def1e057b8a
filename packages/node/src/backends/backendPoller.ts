/**
 * The task that polls one backend server for its load and its cache events.
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
const maximumPollIntervalMs = 10_000;
/** Least time between two polls while the pool is idle on this node, in milliseconds. */
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

/** Polls one server until it is stopped; a failing poll backs off. */
export class BackendPoller {
    private readonly client: Client;
    private readonly abort = new AbortController();
    private lastSequence = 0;

    /** @param options - The server and the receiver of its reports. */
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

    private async runPollLoop(subject: string, periodMs: number, poll: () => Promise<void>): Promise<void> {
        const { clock, logger, server } = this.options;
        let pauseMs = periodMs;
        while (!this.abort.signal.aborted) {
            try {
                await poll();
                pauseMs = periodMs;
            } catch (error) {
                if (pauseMs === periodMs && !this.abort.signal.aborted) {
                    logger.writeEvent("backendPollFailed", {
                        server: server.name,
                        subject,
                        message: String(error),
                    });
                }
                pauseMs = Math.min(pauseMs * 2, maximumPollIntervalMs);
            }
            await clock.wait(this.computePollIntervalMs(pauseMs), this.abort.signal);
        }
    }

    /** An idle pool starts nothing, and its first request corrects an older report by the node's own dispatches. */
    private computePollIntervalMs(pauseMs: number): number {
        return this.options.task.isIdle() ? Math.max(pauseMs, minimumIdlePollIntervalMs) : pauseMs;
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
            throw new Error(`status ${answer.statusCode}`);
        }
        return answer.body.json();
    }
}
