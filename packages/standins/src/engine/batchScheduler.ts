/**
 * Continuous batching: all running sequences advance together in steps, driven by one timer for the engine.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { PrefixCache } from "./prefixCache.js";
import type { Sequence } from "./sequence.js";

/** Maximum number of steps made up for after a late timer; further ones are dropped. */
const maximumCatchUpSteps = 64;
/** Poll interval while no sequence can advance and there is no pause between steps, in milliseconds. */
const blockedPollMs = 1;

/** Settings and dependencies of {@link BatchScheduler}. */
export interface BatchSchedulerOptions {
    readonly slots: number;
    readonly maximumWaiting: number;
    /** Duration of a batch step, in milliseconds; 0 for no pause between steps. */
    readonly tokenIntervalMs: number;
    /** Number of tokens that each sequence generates per step when there is no pause. */
    readonly tokensPerStep: number;
    /** Prefill time of 1,000 uncached tokens, in milliseconds. */
    readonly prefillMsPer1000: number;
    readonly cache: PrefixCache;
    readonly clock: Clock;
    /** Reads the factor by which the `straggle` fault slows the engine down; 1 without the fault. */
    readonly readStraggleFactor: () => number;
    /** Called after each change of the number of running or waiting sequences. */
    readonly onChange: () => void;
}

/** Runs sequences in a limited number of slots, with a priority queue for those that wait. */
export class BatchScheduler {
    private running: Sequence[] = [];
    private waiting: Sequence[] = [];
    private lastStepAtMs = 0;
    private pendingStep: { cancel: () => void } | undefined;

    /**
     * @param options - Settings and dependencies.
     */
    constructor(private readonly options: BatchSchedulerOptions) {}

    /** @returns The number of running sequences. */
    countRunning(): number {
        return this.running.length;
    }

    /** @returns The number of sequences that wait for a slot. */
    countWaiting(): number {
        return this.waiting.length;
    }

    /** @returns Whether all slots are taken and the queue is full. */
    isFull(): boolean {
        return (
            this.running.length >= this.options.slots && this.waiting.length >= this.options.maximumWaiting
        );
    }

    /**
     * Finds a running or waiting sequence.
     *
     * @param requestId - Identifier of the request.
     * @returns The sequence, or undefined when there is none for the request.
     */
    findSequence(requestId: string): Sequence | undefined {
        const hasRequestId = (sequence: Sequence): boolean => sequence.options.requestId === requestId;
        return this.running.find(hasRequestId) ?? this.waiting.find(hasRequestId);
    }

    /**
     * Queues a sequence behind all others whose priority number is the same or lower.
     *
     * @param sequence - The sequence.
     */
    addSequence(sequence: Sequence): void {
        const { priority } = sequence.options;
        const position = this.waiting.findIndex((other) => other.options.priority > priority);
        this.waiting.splice(position === -1 ? this.waiting.length : position, 0, sequence);
        this.startWaitingSequences();
        this.options.onChange();
        this.startStepTimer(1);
    }

    /**
     * Cancels a sequence and frees its slot.
     *
     * @param sequence - The sequence.
     * @param message - Error message to send to the caller; undefined when the connection is already closed.
     */
    cancelSequence(sequence: Sequence, message: string | undefined): void {
        sequence.cancel(message);
        this.removeEndedSequences();
    }

    /** Stops the timer and drops all sequences without ending their responses. */
    close(): void {
        this.pendingStep?.cancel();
        this.running = [];
        this.waiting = [];
    }

    private startWaitingSequences(): void {
        const { slots, cache, clock, prefillMsPer1000, readStraggleFactor } = this.options;
        const nowMs = clock.monotonicMs();
        if (this.running.length === 0) {
            this.lastStepAtMs = nowMs;
        }
        while (this.running.length < slots && this.waiting.length > 0) {
            const sequence = this.waiting.shift() as Sequence;
            const cachedCharacters = cache.storePrefix(sequence.prefillText);
            sequence.start(cachedCharacters, nowMs, prefillMsPer1000 * readStraggleFactor());
            this.running.push(sequence);
        }
    }

    private removeEndedSequences(): void {
        const previousCount = this.running.length + this.waiting.length;
        this.running = this.running.filter((sequence) => sequence.state === "running");
        this.waiting = this.waiting.filter((sequence) => sequence.state === "waiting");
        this.startWaitingSequences();
        if (this.running.length + this.waiting.length !== previousCount) {
            this.options.onChange();
        }
    }

    private startStepTimer(emittedTokens: number): void {
        if (this.running.length === 0 || this.pendingStep !== undefined) {
            return;
        }
        const intervalMs = this.computeIntervalMs();
        if (intervalMs === 0 && emittedTokens > 0) {
            const handle = setImmediate(() => this.runStep());
            this.pendingStep = { cancel: () => clearImmediate(handle) };
            return;
        }
        const nextStepInMs = this.lastStepAtMs + intervalMs - this.options.clock.monotonicMs();
        const delayMs = Math.max(intervalMs === 0 ? blockedPollMs : 0, nextStepInMs);
        const handle = setTimeout(() => this.runStep(), Math.ceil(delayMs));
        this.pendingStep = { cancel: () => clearTimeout(handle) };
    }

    private runStep(): void {
        this.pendingStep = undefined;
        const nowMs = this.options.clock.monotonicMs();
        const tokenCount = this.takeDueTokenCount(nowMs);
        let emittedTokens = 0;
        let hasEnded = false;
        for (const sequence of tokenCount > 0 ? this.running : []) {
            if (sequence.prefillEndMs > nowMs || sequence.options.writer.isBlocked()) {
                continue;
            }
            emittedTokens += sequence.advance(tokenCount);
            hasEnded ||= sequence.state !== "running";
        }
        if (hasEnded) {
            this.removeEndedSequences();
        }
        this.startStepTimer(emittedTokens);
    }

    /** Computes how many tokens each sequence generates now, and advances `lastStepAtMs` by the due steps. */
    private takeDueTokenCount(nowMs: number): number {
        const intervalMs = this.computeIntervalMs();
        if (intervalMs === 0) {
            return this.options.tokensPerStep;
        }
        const dueSteps = Math.floor((nowMs - this.lastStepAtMs) / intervalMs);
        this.lastStepAtMs += dueSteps * intervalMs;
        return Math.min(dueSteps, maximumCatchUpSteps);
    }

    private computeIntervalMs(): number {
        return this.options.tokenIntervalMs * this.options.readStraggleFactor();
    }
}
