/**
 * A minimal model of an inference engine with continuous batching. It models only what scheduling
 * decisions depend on.
 *
 * @packageDocumentation
 */
import type { LoadReport } from "@pimentocleat/policy";

/** A request that an engine runs. */
export interface EngineJob {
    readonly requestId: string;
    readonly node: number;
    /** Prompt tokens, which need prefill unless they are cached. */
    readonly promptTokens: number;
    readonly prefixBlocks: readonly string[];
    /** Tokens still to generate. */
    readonly tokens: number;
}

/** A change in the progress of a job. */
export interface EngineEvent {
    readonly type: "admitted" | "firstToken" | "tokens" | "completed" | "failed";
    readonly job: EngineJob;
    /** Newly generated tokens; 0 unless the type is `tokens`. */
    readonly tokens: number;
}

/** Settings of an engine. */
export interface EngineSettings {
    readonly name: string;
    readonly slots: number;
    readonly prefillTokensPerMs: number;
    /** Time to generate one token of a job, in milliseconds. */
    readonly tokenMs: number;
    readonly cacheBlocks: number;
}

interface RunningJob {
    readonly job: EngineJob;
    remainingPrefillMs: number;
    generated: number;
    /** Fraction of the next token that is already generated. */
    tokenProgress: number;
}

/** Runs up to `slots` jobs at once. Further jobs wait inside the engine and count as an overrun. */
export class EngineModel {
    /** Maximum number of jobs beyond the slots so far. */
    overrun = 0;
    /** Total time that jobs waited inside the engine, in milliseconds. */
    overrunMs = 0;
    /** Total time that slots ran jobs, in milliseconds. */
    busySlotMs = 0;
    /** Factor by which the engine is slower than its settings say. */
    slowdownFactor = 1;
    /** Share of jobs that fail when they would start, 0 to 1. */
    failureShare = 0;
    isDown = false;
    /** Whether the removal of the server has been announced. */
    isLeaving = false;
    /**
     * Cached prefix blocks, least recently used first. The transport evicts those beyond `cacheBlocks`
     * when it sends a load report.
     */
    readonly cache = new Set<string>();
    private running: RunningJob[] = [];
    private waiting: EngineJob[] = [];

    /**
     * @param settings - Name, slots, speed and cache size.
     * @param random - Random numbers from 0 to 1, for failures.
     */
    constructor(
        readonly settings: EngineSettings,
        private readonly random: () => number,
    ) {}

    /**
     * Adds a job to those that wait inside the engine. It starts, or fails if the engine is down, at
     * the next call of {@link EngineModel.advance}.
     *
     * @param job - The job.
     */
    addJob(job: EngineJob): void {
        this.waiting.push(job);
        this.overrun = Math.max(this.overrun, this.countJobs() - this.settings.slots);
    }

    /** @param requestId - Request whose job to remove. */
    cancelJob(requestId: string): void {
        this.running = this.running.filter(({ job }) => job.requestId !== requestId);
        this.waiting = this.waiting.filter((job) => job.requestId !== requestId);
    }

    /**
     * Starts waiting jobs on free slots and advances the running jobs. All jobs fail when the engine
     * is down.
     *
     * @param durationMs - Simulated time that passes, in milliseconds.
     * @returns The events of this time.
     */
    advance(durationMs: number): EngineEvent[] {
        if (this.isDown) {
            return this.clearJobs();
        }
        const events: EngineEvent[] = [];
        while (this.running.length < this.settings.slots && this.waiting.length > 0) {
            this.startJob(this.waiting.shift(), events);
        }
        this.overrunMs += this.waiting.length * durationMs;
        this.busySlotMs += this.running.length * durationMs;
        for (const running of this.running) {
            this.advanceJob(running, durationMs / this.slowdownFactor, events);
        }
        this.running = this.running.filter(({ job, generated }) => generated < job.tokens);
        return events;
    }

    /** @returns The load report of the engine at this time. */
    readLoad(): LoadReport {
        return {
            server: this.settings.name,
            runningRequests: this.running.length,
            waitingRequests: this.waiting.length,
            slots: this.settings.slots,
            cacheUsage: Math.min(1, this.cache.size / this.settings.cacheBlocks),
            ageMs: 0,
        };
    }

    private countJobs(): number {
        return this.running.length + this.waiting.length;
    }

    private clearJobs(): EngineEvent[] {
        const jobs = [...this.running.map(({ job }) => job), ...this.waiting];
        this.running = [];
        this.waiting = [];
        return jobs.map((job) => ({ type: "failed", job, tokens: 0 }));
    }

    private startJob(job: EngineJob | undefined, events: EngineEvent[]): void {
        if (job === undefined) {
            return;
        }
        if (this.random() < this.failureShare) {
            events.push({ type: "failed", job, tokens: 0 });
            return;
        }
        const firstMissing = job.prefixBlocks.findIndex((block) => !this.cache.has(block));
        const cachedBlocks = firstMissing === -1 ? job.prefixBlocks.length : firstMissing;
        const cachedShare = job.prefixBlocks.length === 0 ? 0 : cachedBlocks / job.prefixBlocks.length;
        for (const block of job.prefixBlocks) {
            this.cache.delete(block);
            this.cache.add(block);
        }
        events.push({ type: "admitted", job, tokens: 0 });
        const uncachedTokens = job.promptTokens * (1 - cachedShare);
        const remainingPrefillMs = uncachedTokens / this.settings.prefillTokensPerMs;
        this.running.push({ job, remainingPrefillMs, generated: 0, tokenProgress: 0 });
    }

    private advanceJob(running: RunningJob, durationMs: number, events: EngineEvent[]): void {
        const { job } = running;
        const prefillMs = Math.min(durationMs, running.remainingPrefillMs);
        running.remainingPrefillMs -= prefillMs;
        if (running.remainingPrefillMs > 0) {
            return;
        }
        running.tokenProgress += (durationMs - prefillMs) / this.settings.tokenMs;
        const tokens = Math.min(Math.floor(running.tokenProgress), job.tokens - running.generated);
        if (tokens === 0) {
            return;
        }
        running.tokenProgress -= tokens;
        if (running.generated === 0) {
            events.push({ type: "firstToken", job, tokens: 0 });
        }
        running.generated += tokens;
        events.push({ type: "tokens", job, tokens });
        if (running.generated >= job.tokens) {
            events.push({ type: "completed", job, tokens: 0 });
        }
    }
}
