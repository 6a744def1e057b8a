/**
 * A minimal model of a continuously batching engine, for experiments on decisions only.
 *
 * @packageDocumentation
 */
import type { LoadReport } from "@pimentocleat/policy";

/** A request that an engine runs. */
export interface EngineJob {
    readonly requestId: string;
    readonly node: number;
    /** Prompt tokens that must be computed unless cached. */
    readonly promptTokens: number;
    readonly prefixBlocks: readonly string[];
    /** Tokens still to generate. */
    readonly tokens: number;
}

/** What happened to a job. */
export interface EngineEvent {
    readonly type: "admitted" | "firstToken" | "tokens" | "completed" | "failed";
    readonly job: EngineJob;
    readonly tokens: number;
}

/** Settings of an engine. */
export interface EngineSettings {
    readonly name: string;
    readonly slots: number;
    readonly prefillTokensPerMs: number;
    readonly tokenMs: number;
    readonly cacheBlocks: number;
}

interface RunningJob {
    readonly job: EngineJob;
    remainingPrefillMs: number;
    generated: number;
    tokenProgress: number;
}

/** Runs up to `slots` jobs; more wait inside the engine, which counts as an overrun. */
export class EngineModel {
    /** Greatest number of jobs beyond the slots. */
    overrun = 0;
    /** Milliseconds that jobs spent waiting inside the engine. */
    overrunMs = 0;
    busySlotMs = 0;
    slowdownFactor = 1;
    failureShare = 0;
    isDown = false;
    /** Whether the engine was told to go. */
    isLeaving = false;
    readonly cache = new Set<string>();
    private running: RunningJob[] = [];
    private waiting: EngineJob[] = [];

    /**
     * @param settings - Name, slots and speed.
     * @param random - Random numbers from 0 to 1, for failures.
     */
    constructor(
        readonly settings: EngineSettings,
        private readonly random: () => number,
    ) {}

    /** @param job - A job to run; fails at once when the engine is down. */
    addJob(job: EngineJob): void {
        this.waiting.push(job);
        this.overrun = Math.max(this.overrun, this.countJobs() - this.settings.slots);
    }

    /** @param requestId - A job to stop. */
    cancelJob(requestId: string): void {
        this.running = this.running.filter(({ job }) => job.requestId !== requestId);
        this.waiting = this.waiting.filter((job) => job.requestId !== requestId);
    }

    /**
     * Lets time pass.
     *
     * @param durationMs - How long.
     * @returns What happened.
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

    /** @returns What the engine would report now. */
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
        const cached = firstMissing === -1 ? job.prefixBlocks.length : firstMissing;
        const share = job.prefixBlocks.length === 0 ? 0 : cached / job.prefixBlocks.length;
        for (const block of job.prefixBlocks) {
            this.cache.delete(block);
            this.cache.add(block);
        }
        events.push({ type: "admitted", job, tokens: 0 });
        const uncached = job.promptTokens * (1 - share);
        const prefillLeftMs = uncached / this.settings.prefillTokensPerMs;
        this.running.push({ job, remainingPrefillMs: prefillLeftMs, generated: 0, tokenProgress: 0 });
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
