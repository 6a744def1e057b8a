/**
 * Continuous batching: all running sequences advance together, one timer for the whole engine.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { PrefixCache } from "./prefixCache.js";
import type { Sequence } from "./sequence.js";

const maximumCatchUpSteps = 64;
const blockedPollMs = 1;

/** What the scheduler needs. */
export interface BatchSchedulerOptions {
    readonly slots: number;
    readonly maximumWaiting: number;
    readonly tokenIntervalMs: number;
    readonly tokensPerStep: number;
    readonly prefillMsPer1000: number;
    readonly cache: PrefixCache;
    readonly clock: Clock;
    /** Reads by how much the engine is slower than it should be; 1 for not at all. */
    readonly readStraggleFactor: () => number;
    /** Told after each change of the number of running or waiting sequences. */
    readonly onChange: () => void;
}

/** Runs sequences in a limited number of slots. */
export class BatchScheduler {
    private running: Sequence[] = [];
    private waiting: Sequence[] = [];
    private lastStepAtMs = 0;
    private pendingStep: { cancel: () => void } | undefined;

    /**
     * @param options - What it needs.
     */
    constructor(private readonly options: BatchSchedulerOptions) {}

    /** @returns Number of sequences that run. */
    countRunning(): number {
        return this.running.length;
    }

    /** @returns Number of sequences that wait for a slot. */
    countWaiting(): number {
        return this.waiting.length;
    }

    /** @returns Whether the waiting queue is full. */
    isFull(): boolean {
        return (
            this.running.length >= this.options.slots && this.waiting.length >= this.options.maximumWaiting
        );
    }

    /**
     * Finds a sequence that runs or waits.
     *
     * @param requestId - Its request identifier.
     * @returns The sequence, or undefined.
     */
    findSequence(requestId: string): Sequence | undefined {
        const isWanted = (sequence: Sequence): boolean => sequence.options.requestId === requestId;
        return this.running.find(isWanted) ?? this.waiting.find(isWanted);
    }

    /**
     * Adds a sequence behind all of the same or a lower priority number.
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
     * Gives a sequence up.
     *
     * @param sequence - The sequence.
     * @param message - Explicit error for the caller; undefined when the connection is gone.
     */
    cancelSequence(sequence: Sequence, message: string | undefined): void {
        sequence.cancel(message);
        this.removeEndedSequences();
    }

    /** Stops the timer and forgets all sequences. */
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
        const before = this.running.length + this.waiting.length;
        this.running = this.running.filter((sequence) => sequence.state === "running");
        this.waiting = this.waiting.filter((sequence) => sequence.state === "waiting");
        this.startWaitingSequences();
        if (this.running.length + this.waiting.length !== before) {
            this.options.onChange();
        }
    }

    private startStepTimer(emitted: number): void {
        if (this.running.length === 0 || this.pendingStep !== undefined) {
            return;
        }
        const intervalMs = this.computeIntervalMs();
        if (intervalMs === 0 && emitted > 0) {
            const handle = setImmediate(() => this.runStep());
            this.pendingStep = { cancel: () => clearImmediate(handle) };
            return;
        }
        const dueInMs = this.lastStepAtMs + intervalMs - this.options.clock.monotonicMs();
        const delayMs = Math.max(intervalMs === 0 ? blockedPollMs : 0, dueInMs);
        const handle = setTimeout(() => this.runStep(), Math.ceil(delayMs));
        this.pendingStep = { cancel: () => clearTimeout(handle) };
    }

    private runStep(): void {
        this.pendingStep = undefined;
        const nowMs = this.options.clock.monotonicMs();
        const count = this.takeDueTokenCount(nowMs);
        let emitted = 0;
        let ended = false;
        for (const sequence of count > 0 ? this.running : []) {
            if (sequence.prefillEndMs > nowMs || sequence.options.writer.isBlocked()) {
                continue;
            }
            emitted += sequence.advance(count);
            ended ||= sequence.state !== "running";
        }
        if (ended) {
            this.removeEndedSequences();
        }
        this.startStepTimer(emitted);
    }

    private takeDueTokenCount(nowMs: number): number {
        const intervalMs = this.computeIntervalMs();
        if (intervalMs === 0) {
            return this.options.tokensPerStep;
        }
        const due = Math.floor((nowMs - this.lastStepAtMs) / intervalMs);
        this.lastStepAtMs += due * intervalMs;
        return Math.min(due, maximumCatchUpSteps);
    }

    private computeIntervalMs(): number {
        return this.options.tokenIntervalMs * this.options.readStraggleFactor();
    }
}
