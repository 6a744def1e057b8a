/**
 * The state of one request class in a pool.
 *
 * @packageDocumentation
 */
import type { RequestClass } from "@pimentocleat/schema";
import { FairQueue } from "../fairness/fairQueue.js";
import { DeadlineHeap } from "./deadlineHeap.js";
import { MeanEstimator, RateEstimator } from "./estimators.js";

const demandTimeConstantMs = 2_000;
const initialHoldingShare = 0.25;
const initialFirstTokenShare = 0.2;
const initialAnswerTokens = 64;
/** Share of the target that a request may always wait, so that slow engines don't refuse everything. */
const minimumWaitBudgetShare = 0.1;

/** Queue, order and estimates of one class. */
export class ClassQueue {
    readonly queue: FairQueue;
    readonly deadlines = new DeadlineHeap();
    /** Slot time used, divided by the weight; orders the classes of a tier. */
    virtualTime = 0;
    /** Slot starts that the floor owes; see {@link FloorKeeper}. */
    floorCredit = 0;
    /** Last start on this node, in monotonic milliseconds. */
    lastStartMs = -Infinity;
    /** When requests began to wait without a break, in monotonic milliseconds. */
    activeSinceMs = 0;
    /** How long a request holds its slot, in milliseconds. */
    readonly holdingMs: MeanEstimator;
    /** From start to first token, in milliseconds. */
    readonly firstTokenMs: MeanEstimator;
    /** Tokens of an answer. */
    readonly tokens = new MeanEstimator(initialAnswerTokens);
    readonly offered: RateEstimator;
    readonly admitted: RateEstimator;

    /**
     * @param settings - The class.
     * @param readWeight - Reads the weight of a customer.
     * @param nowMs - Monotonic time.
     */
    constructor(
        public settings: RequestClass,
        readWeight: (customer: string) => number,
        nowMs: number,
    ) {
        this.queue = new FairQueue(readWeight);
        this.holdingMs = new MeanEstimator(settings.completeMs * initialHoldingShare);
        this.firstTokenMs = new MeanEstimator(settings.firstTokenMs * initialFirstTokenShare);
        this.offered = new RateEstimator(demandTimeConstantMs, nowMs);
        this.admitted = new RateEstimator(demandTimeConstantMs, nowMs);
    }

    /** @returns How long a request may wait for a slot and meet its targets, in milliseconds. */
    readWaitBudgetMs(): number {
        const { firstTokenMs, completeMs } = this.settings;
        const untilFirstMs = firstTokenMs - this.firstTokenMs.readUpperBound();
        const untilCompleteMs = completeMs - this.holdingMs.readMean();
        return Math.max(Math.min(untilFirstMs, untilCompleteMs), firstTokenMs * minimumWaitBudgetShare);
    }
}
