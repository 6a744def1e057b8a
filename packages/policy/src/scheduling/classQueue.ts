/**
 * The state of one request class in a pool.
 *
 * @packageDocumentation
 */
import type { RequestClass } from "@pimentocleat/schema";
import { FairQueue } from "../fairness/fairQueue.js";
import { DeadlineHeap } from "./deadlineHeap.js";
import { MeanEstimator, RateEstimator } from "./estimators.js";

/** Time constant of the estimated offered and admitted request rates. */
const demandTimeConstantMs = 2_000;
/**
 * Initial estimates, used until requests have been measured: the holding time and the time to first token as shares of
 * the class's targets, and the length of an answer.
 */
const initialHoldingShare = 0.25;
const initialFirstTokenShare = 0.2;
const initialAnswerTokens = 64;
/**
 * Share of the first-token target that a request may always wait, so that slow engines don't cause every request to be
 * refused.
 */
const minimumWaitBudgetShare = 0.1;

/** Holds the queue, scheduling state and estimates of one class. */
export class ClassQueue {
    readonly queue: FairQueue;
    readonly deadlines = new DeadlineHeap();
    /** Slot time used, in milliseconds, divided by the class weight; orders the classes of a tier. */
    virtualTime = 0;
    /** Slot starts that the class is owed by its floor; see {@link FloorEnforcer}. */
    floorCredit = 0;
    /** Time of the last start on this node, in monotonic milliseconds. */
    lastStartMs = -Infinity;
    /** Time since which the queue has never been empty, in monotonic milliseconds. */
    activeSinceMs = 0;
    /** Time for which a request holds its slot, in milliseconds. */
    readonly holdingMs: MeanEstimator;
    /** Time from start to first token, in milliseconds. */
    readonly firstTokenMs: MeanEstimator;
    /** Tokens in an answer. */
    readonly tokens = new MeanEstimator(initialAnswerTokens);
    /** Requests offered to the class; retries and resumed requests aren't counted. */
    readonly offered: RateEstimator;
    /** Offered requests that were admitted to the queue. */
    readonly admitted: RateEstimator;

    /**
     * @param settings - The configuration of the class.
     * @param readWeight - Returns the weight of a customer.
     * @param nowMs - The monotonic time, in milliseconds.
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

    /** @returns The longest time that a request may wait for a slot and still meet its targets, in milliseconds. */
    readWaitBudgetMs(): number {
        const { firstTokenMs, completeMs } = this.settings;
        const untilFirstMs = firstTokenMs - this.firstTokenMs.readUpperBound();
        const untilCompleteMs = completeMs - this.holdingMs.readMean();
        return Math.max(Math.min(untilFirstMs, untilCompleteMs), firstTokenMs * minimumWaitBudgetShare);
    }
}
