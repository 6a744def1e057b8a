/**
 * The mean size of the requests of each kind, for requests of nodes that do not tell it.
 *
 * @packageDocumentation
 */
import { MeanEstimator } from "../scheduling/estimators.js";

/** Weight of a new size in the mean. */
const sizeGain = 0.05;
/** Maximum number of kinds; further ones share the mean of all. */
const maximumKinds = 64;

/** Averages sizes by kind. Requests of one route have the same pause target, which stands for the kind. */
export class RequestSizes {
    private readonly kinds = new Map<number, MeanEstimator>();
    private readonly all = new MeanEstimator(0, sizeGain);

    /**
     * Records a known size.
     *
     * @param pauseTargetMs - The pause target of the request, in milliseconds; undefined if it isn't streamed.
     * @param tokens - The tokens of the request that no other shares.
     */
    record(pauseTargetMs: number | undefined, tokens: number): void {
        const key = pauseTargetMs ?? 0;
        const kind = this.kinds.get(key) ?? new MeanEstimator(0, sizeGain);
        if (this.kinds.size < maximumKinds) {
            this.kinds.set(key, kind);
        }
        kind.record(tokens);
        this.all.record(tokens);
    }

    /**
     * Estimates an unknown size.
     *
     * @param pauseTargetMs - The pause target of the request, in milliseconds; undefined if it isn't streamed.
     * @returns The mean of its kind, or of all requests when none of its kind is known.
     */
    estimateTokens(pauseTargetMs: number | undefined): number {
        return (this.kinds.get(pauseTargetMs ?? 0) ?? this.all).readMean();
    }

    /** @returns The mean of all requests. */
    readMean(): number {
        return this.all.readMean();
    }
}
